package load

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/catalogue"
)

const (
	// ageUnit is the unit of ages in a packed report, and longReportAgeUnit that in one of more than
	// shortReportServers servers, where a finer one takes 10% more bytes. Ages are rounded up: no
	// observation looks newer than it is, and it leaves the window of 1.4 s up to a unit earlier for
	// each host on its way.
	ageUnit            = 20 * time.Millisecond
	longReportAgeUnit  = 100 * time.Millisecond
	shortReportServers = 64
	// Sizes of the numbers in the header of a packed report, in bits.
	limitBits    = 21
	slowdownBits = 11
	countBits    = 15
)

var (
	// ErrUnknownList means that packed servers refer to a list that the receiver does not have.
	ErrUnknownList = errors.New("packed servers refer to an unknown list")
	// ErrOutOfRange means that a number of a server can't be true.
	ErrOutOfRange = errors.New("out of range")
)

// ListDigest identifies a ServerList. Zero identifies none.
type ListDigest uint64

// ServerList holds the servers of a data centre in an order that two hosts with the same servers
// derive alike, so that a packed report refers to them by their position. A nil list is empty.
type ServerList struct {
	cookies []catalogue.Cookie
	digest  ListDigest
}

// NewServerList returns the list of some servers.
func NewServerList(servers []*catalogue.Server) *ServerList {
	l := &ServerList{cookies: make([]catalogue.Cookie, 0, len(servers))}
	for _, server := range servers {
		l.cookies = append(l.cookies, server.Cookie)
	}
	slices.Sort(l.cookies)
	l.cookies = slices.Compact(l.cookies)
	data := make([]byte, 0, 4*len(l.cookies))
	for _, cookie := range l.cookies {
		data = binary.BigEndian.AppendUint32(data, uint32(cookie))
	}
	l.digest = max(1, ListDigest(xxhash.Sum64(data)))
	return l
}

// Digest returns the digest of the cookies, or zero for a nil list.
func (l *ServerList) Digest() ListDigest {
	if l == nil {
		return 0
	}
	return l.digest
}

// packedEntry is an entry with its number: the position of the server in the list, or its cookie.
type packedEntry struct {
	number uint32
	*ServerLoad
}

// packing is the state of both directions: the usual values, the unit of ages, and a model for each
// kind of number.
type packing struct {
	// usualLimit is the most frequent limit, and usualSlowdown the median.
	usualLimit, usualSlowdown                         uint32
	ageUnit                                           time.Duration
	inFlight, refusals, samples, slowdown, limit, age numberModel
}

// setServers sets the unit of ages by the number of servers.
func (p *packing) setServers(n int) {
	p.ageUnit = ageUnit
	if n > shortReportServers {
		p.ageUnit = longReportAgeUnit
	}
}

// PackServers encodes the entries of a report by arithmetic coding. Servers in the list are referred to
// by their position, others by their cookie. It is meant for some hundred servers, most of which are idle,
// of usual speed and have the same limit: these take 12 bits each. Idle servers are not left
// out, because the usual latency of a service is that of its usual servers. docs/PROTOCOL.md describes
// the format.
func PackServers(servers []ServerLoad, list *ServerList) ([]byte, error) {
	if len(servers) > maxReportedServers {
		return nil, errors.Errorf("%d servers", len(servers))
	}
	for i := range servers {
		if !servers[i].inRange() {
			return nil, errors.Wrapf(ErrOutOfRange, "load of server %08x", uint32(servers[i].Server))
		}
	}
	return pack(servers, list)
}

// pack encodes entries whose numbers are not checked.
func pack(servers []ServerLoad, list *ServerList) ([]byte, error) {
	var listed, others []packedEntry
	for i := range servers {
		load := &servers[i]
		if position, ok := list.position(load.Server); ok {
			listed = append(listed, packedEntry{position, load})
		} else {
			others = append(others, packedEntry{uint32(load.Server), load})
		}
	}
	p, w := newPacking(servers), newBitEncoder(2*len(servers)+16)
	w.writeBits(p.usualLimit, limitBits)
	w.writeBits(p.usualSlowdown, slowdownBits)
	w.writeBits(uint32(len(listed)), countBits)
	w.writeBits(uint32(len(others)), countBits)
	for _, entries := range [][]packedEntry{listed, others} {
		if err := p.encode(w, entries); err != nil {
			return nil, err
		}
	}
	return w.finish(), nil
}

func (l *ServerList) position(server catalogue.Cookie) (uint32, bool) {
	if l == nil {
		return 0, false
	}
	position, ok := slices.BinarySearch(l.cookies, server)
	return uint32(position), ok
}

// newPacking returns the state before the first of some entries.
func newPacking(servers []ServerLoad) *packing {
	p := &packing{}
	p.setServers(len(servers))
	counts, slowdowns := make(map[uint32]int), make([]uint32, 0, len(servers))
	for i := range servers {
		counts[servers[i].Limit]++
		slowdowns = append(slowdowns, servers[i].Slowdown)
	}
	if len(servers) > 0 {
		slices.Sort(slowdowns)
		p.usualSlowdown = min(slowdowns[len(slowdowns)/2], 1<<slowdownBits-1)
	}
	most := 0
	for limit, count := range counts {
		if limit < 1<<limitBits && (count > most || count == most && limit < p.usualLimit) {
			p.usualLimit, most = limit, count
		}
	}
	return p
}

// encode writes entries in the order of their numbers.
func (p *packing) encode(w *bitEncoder, entries []packedEntry) error {
	slices.SortFunc(entries, func(a, b packedEntry) int { return cmp.Compare(a.number, b.number) })
	gaps, next := numberModel{}, uint64(0)
	for _, entry := range entries {
		if uint64(entry.number) < next {
			return errors.Errorf("server %08x is repeated", uint32(entry.Server))
		}
		w.write(&gaps, entry.number-uint32(next))
		next = uint64(entry.number) + 1
		w.write(&p.inFlight, entry.InFlight)
		w.write(&p.refusals, entry.Refusals)
		w.write(&p.samples, entry.Samples)
		w.write(&p.slowdown, zigzag(entry.Slowdown, p.usualSlowdown))
		w.write(&p.limit, zigzag(entry.Limit, p.usualLimit))
		w.write(&p.age, uint32((entry.Age+p.ageUnit-1)/p.ageUnit))
	}
	return nil
}

// UnpackServers decodes what PackServers has encoded with the same list. It rejects data that is too
// short or too long, positions that are not in the list, and numbers out of range.
func UnpackServers(data []byte, list *ServerList) ([]ServerLoad, error) {
	r := newBitDecoder(data)
	p := &packing{usualLimit: r.readBits(limitBits), usualSlowdown: r.readBits(slowdownBits)}
	listed, others := int(r.readBits(countBits)), int(r.readBits(countBits))
	if r.faulty || listed+others > maxReportedServers {
		return nil, errors.Errorf("%d packed servers in %d bytes", listed+others, len(data))
	}
	p.setServers(listed + others)
	servers := make([]ServerLoad, 0, min(listed+others, len(data)))
	var err error
	if listed > 0 {
		if list == nil {
			return nil, ErrUnknownList
		}
		if servers, err = p.decode(r, servers, listed, list.cookies); err != nil {
			return nil, err
		}
	}
	if servers, err = p.decode(r, servers, others, nil); err != nil {
		return nil, err
	}
	if !r.atEnd() {
		return nil, errors.New("packed servers are followed by other data")
	}
	return servers, nil
}

// decode appends entries. Their numbers are positions in the list, or cookies if it is nil.
func (p *packing) decode(r *bitDecoder, servers []ServerLoad, count int, list []catalogue.Cookie) ([]ServerLoad, error) {
	bound := uint64(1) << 32
	if list != nil {
		bound = uint64(len(list))
	}
	gaps, next := numberModel{}, uint64(0)
	for range count {
		number := next + uint64(r.read(&gaps))
		if r.faulty || number >= bound {
			return nil, errors.Errorf("packed servers are truncated or refer to server %d of %d", number, bound)
		}
		next = number + 1
		load := ServerLoad{Server: catalogue.Cookie(number), InFlight: r.read(&p.inFlight), Refusals: r.read(&p.refusals), Samples: r.read(&p.samples)}
		if list != nil {
			load.Server = list[number]
		}
		load.Slowdown = r.unzigzag(r.read(&p.slowdown), p.usualSlowdown)
		load.Limit = r.unzigzag(r.read(&p.limit), p.usualLimit)
		load.Age = time.Duration(r.read(&p.age)) * p.ageUnit
		if r.faulty {
			return nil, errors.Errorf("load of server %08x is truncated or impossible", uint32(load.Server))
		}
		if !load.inRange() {
			return nil, errors.Wrapf(ErrOutOfRange, "load of server %08x", uint32(load.Server))
		}
		servers = append(servers, load)
	}
	return servers, nil
}

// zigzag returns the difference to a usual value, so that those close to it are small numbers.
func zigzag(value, usual uint32) uint32 {
	difference := int64(value) - int64(usual)
	return uint32(difference<<1 ^ difference>>63)
}

// unzigzag reverses zigzag. A negative value is a fault.
func (r *bitDecoder) unzigzag(zigzagged, usual uint32) uint32 {
	value := int64(usual) + (int64(zigzagged>>1) ^ -int64(zigzagged&1))
	r.faulty = r.faulty || value < 0 || value>>32 != 0
	return uint32(value)
}

package packet

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/fleet"
)

// Handoff is the header under which one entry host hands an inner packet to another.
type Handoff struct {
	From fleet.HostID
	// Hops is how often the packet was handed on. Only 1 is valid.
	Hops uint8
	// View is a digest of the view by which From decided.
	View   uint64
	Reason HandoffReason
	// Stream names one Sealer of one life of From, and Sequence numbers its packets.
	Stream, Sequence uint64
	Sent             time.Time
}

// HandoffReason tells why a packet was handed on.
type HandoffReason uint8

// The reasons for handing a packet on.
const (
	HandoffSplit HandoffReason = 1 // the slot of the flow is split, and the receiver owns it
)

// A sealed packet is: version, hops, reason, length of From (1 byte each), From,
// view, stream, sequence, time in nanoseconds since 1970 (8 bytes each, big
// endian), the authentication code, the inner packet.
const (
	handoffVersion = 1
	handoffPrefix  = 4
	handoffNumbers = 4 * 8
	codeLen        = 16
	maxHostID      = 64
)

// MaxOverhead is the most bytes that sealing adds to an inner packet.
const MaxOverhead = handoffPrefix + maxHostID + handoffNumbers + codeLen

// DefaultMaxAge is how old a handoff may be, and how far ahead of the receiver's clock.
const DefaultMaxAge = 10 * time.Second

// Sealer writes handoffs. Each goroutine has its own.
//
// The key is shared by all entry hosts. It shows that a packet was handed on by
// a holder of the key, to this receiver, unchanged, within the last MaxAge and
// for the first time. It does not hide the packet, does not show which holder
// sent it (any of them can write any From), and does not vouch for the inner
// packet, which a caller made.
type Sealer struct {
	Key  []byte
	From fleet.HostID
	// Stream must differ between the Sealers of one host, and between its lives.
	Stream uint64

	sequence uint64
	code     coder
}

// AppendSealed appends the sealed form of inner, for the host to, to dst.
func (s *Sealer) AppendSealed(dst []byte, now time.Time, to fleet.HostID, view uint64, inner []byte) ([]byte, error) {
	if len(s.From) == 0 || len(s.From) > maxHostID {
		return dst, errors.Errorf("seal handoff to %s: bad length of own host name %q", to, s.From)
	}
	if len(s.Key) == 0 {
		return dst, errors.Errorf("seal handoff to %s: no key", to)
	}
	s.sequence++
	start := len(dst)
	dst = append(dst, handoffVersion, 1, byte(HandoffSplit), byte(len(s.From)))
	dst = append(dst, s.From...)
	dst = binary.BigEndian.AppendUint64(dst, view)
	dst = binary.BigEndian.AppendUint64(dst, s.Stream)
	dst = binary.BigEndian.AppendUint64(dst, s.sequence)
	dst = binary.BigEndian.AppendUint64(dst, uint64(now.UnixNano()))
	code := s.code.sum(s.Key, to, dst[start:], inner)
	dst = append(dst, code...)
	return append(dst, inner...), nil
}

// Opener reads handoffs. Each goroutine has its own; the Openers of one host
// share a Window.
type Opener struct {
	Key  []byte
	Self fleet.HostID
	// MaxAge is how old a handoff may be; zero means DefaultMaxAge. The clocks
	// of hosts may differ by less than that.
	MaxAge time.Duration
	Window *Window

	code coder
	last fleet.HostID
}

// Open reads the handoff in data into h and returns the inner packet, which
// points into data. The error, if any, is a Reason.
func (o *Opener) Open(now time.Time, data []byte, h *Handoff) ([]byte, error) {
	*h = Handoff{}
	if len(data) < handoffPrefix || data[0] != handoffVersion {
		return nil, ReasonMalformed
	}
	fromLen := int(data[3])
	header := handoffPrefix + fromLen + handoffNumbers
	if fromLen == 0 || fromLen > maxHostID || len(data) < header+codeLen {
		return nil, ReasonMalformed
	}
	inner := data[header+codeLen:]
	if !o.authentic(data[:header], data[header:header+codeLen], inner) {
		return nil, ReasonForged
	}
	o.read(data, fromLen, h)
	if h.Hops != 1 {
		return nil, ReasonHops
	}
	return inner, o.checkTime(now, h)
}

func (o *Opener) authentic(header, code, inner []byte) bool {
	if len(o.Key) == 0 {
		return false
	}
	return hmac.Equal(code, o.code.sum(o.Key, o.Self, header, inner))
}

func (o *Opener) read(data []byte, fromLen int, h *Handoff) {
	from := data[handoffPrefix : handoffPrefix+fromLen]
	if string(from) != string(o.last) {
		o.last = fleet.HostID(from)
	}
	numbers := data[handoffPrefix+fromLen:]
	h.From, h.Hops, h.Reason = o.last, data[1], HandoffReason(data[2])
	h.View = binary.BigEndian.Uint64(numbers)
	h.Stream = binary.BigEndian.Uint64(numbers[8:])
	h.Sequence = binary.BigEndian.Uint64(numbers[16:])
	h.Sent = time.Unix(0, int64(binary.BigEndian.Uint64(numbers[24:])))
}

func (o *Opener) checkTime(now time.Time, h *Handoff) error {
	age, limit := now.Sub(h.Sent), o.MaxAge
	if limit == 0 {
		limit = DefaultMaxAge
	}
	if age > limit || age < -limit {
		return ReasonExpired
	}
	if o.Window == nil {
		o.Window = new(Window)
	}
	return o.Window.accept(now, limit, h)
}

// coder computes authentication codes without allocating.
type coder struct {
	mac hash.Hash
	to  []byte
	out []byte
}

// sum returns the code of a handoff to the host to. It is valid until the next call.
func (c *coder) sum(key []byte, to fleet.HostID, header, inner []byte) []byte {
	if c.mac == nil {
		c.mac = hmac.New(sha256.New, key)
	}
	c.mac.Reset()
	c.to = append(append(c.to[:0], byte(len(to))), to...)
	_, _ = c.mac.Write(c.to)
	_, _ = c.mac.Write(header)
	_, _ = c.mac.Write(inner)
	c.out = c.mac.Sum(c.out[:0])
	return c.out[:codeLen]
}

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

// Handoff is the header of an inner packet that one entry host hands off to another.
type Handoff struct {
	From fleet.HostID
	// Hops is the number of times that the packet was handed off. Only 1 is valid.
	Hops uint8
	// View is a digest of the view on which From based its decision.
	View   uint64
	Reason HandoffReason
	// Stream identifies a Sealer of one incarnation of From. Sequence numbers its packets.
	Stream, Sequence uint64
	Sent             time.Time
}

// HandoffReason is the reason for handing off a packet.
type HandoffReason uint8

// The reasons for handing off a packet.
const (
	HandoffSplit HandoffReason = 1 // the slot of the flow is split, and the receiver owns it
)

// A sealed packet consists of version, hops, reason and length of From (1 byte
// each), From, view, stream, sequence and time in nanoseconds since 1970 (8 bytes
// each, big-endian), the message authentication code (MAC) and the inner packet.
const (
	handoffVersion    = 1
	handoffPrefixLen  = 4
	handoffNumbersLen = 4 * 8
	macLen            = 16
	maxHostIDLen      = 64
)

// MaxOverhead is the maximum number of bytes that sealing adds to an inner packet.
const MaxOverhead = handoffPrefixLen + maxHostIDLen + handoffNumbersLen + macLen

// DefaultMaxAge is the maximum age of a handoff, and the maximum time by which it
// may be ahead of the receiver's clock.
const DefaultMaxAge = 10 * time.Second

// Sealer encodes and authenticates handoffs. It is not safe for concurrent use.
//
// All entry hosts share the key. A valid MAC, with the checks of Opener, proves
// that a holder of the key sent the packet to this receiver within the last
// MaxAge, that it was not modified, and that it is not a replay. It does not
// encrypt the packet, does not prove which holder sent it (any of them can set
// any From), and does not authenticate the inner packet, which comes from a caller.
type Sealer struct {
	Key  []byte
	From fleet.HostID
	// Stream must be unique among the Sealers of a host, also across restarts.
	Stream uint64

	sequence uint64
	auth     authenticator
}

// AppendSealed appends inner to dst, sealed as a handoff to receiver.
func (s *Sealer) AppendSealed(dst []byte, now time.Time, receiver fleet.HostID, view uint64, inner []byte) ([]byte, error) {
	if len(s.From) == 0 || len(s.From) > maxHostIDLen {
		return dst, errors.Errorf("seal handoff to %s: local host ID %q is empty or too long", receiver, s.From)
	}
	if len(s.Key) == 0 {
		return dst, errors.Errorf("seal handoff to %s: no key", receiver)
	}
	s.sequence++
	start := len(dst)
	dst = append(dst, handoffVersion, 1, byte(HandoffSplit), byte(len(s.From)))
	dst = append(dst, s.From...)
	dst = binary.BigEndian.AppendUint64(dst, view)
	dst = binary.BigEndian.AppendUint64(dst, s.Stream)
	dst = binary.BigEndian.AppendUint64(dst, s.sequence)
	dst = binary.BigEndian.AppendUint64(dst, uint64(now.UnixNano()))
	mac := s.auth.sum(s.Key, receiver, dst[start:], inner)
	dst = append(dst, mac...)
	return append(dst, inner...), nil
}

// Opener verifies and decodes handoffs. It is not safe for concurrent use; the
// Openers of a host share a Window.
type Opener struct {
	Key  []byte
	Self fleet.HostID
	// MaxAge is the maximum age of a handoff; zero means DefaultMaxAge. The clocks
	// of hosts must differ by less than that.
	MaxAge time.Duration
	Window *Window

	auth     authenticator
	lastFrom fleet.HostID // avoids an allocation for each packet
}

// Open decodes data into handoff and returns the inner packet, which points into
// data. The error, if any, is a Reason.
func (o *Opener) Open(now time.Time, data []byte, handoff *Handoff) ([]byte, error) {
	*handoff = Handoff{}
	if len(data) < handoffPrefixLen || data[0] != handoffVersion {
		return nil, ReasonMalformed
	}
	fromLen := int(data[3])
	headerLen := handoffPrefixLen + fromLen + handoffNumbersLen
	if fromLen == 0 || fromLen > maxHostIDLen || len(data) < headerLen+macLen {
		return nil, ReasonMalformed
	}
	inner := data[headerLen+macLen:]
	if !o.authentic(data[:headerLen], data[headerLen:headerLen+macLen], inner) {
		return nil, ReasonForged
	}
	o.decode(data, fromLen, handoff)
	if handoff.Hops != 1 {
		return nil, ReasonHops
	}
	return inner, o.checkFreshness(now, handoff)
}

func (o *Opener) authentic(header, mac, inner []byte) bool {
	if len(o.Key) == 0 {
		return false
	}
	return hmac.Equal(mac, o.auth.sum(o.Key, o.Self, header, inner))
}

func (o *Opener) decode(data []byte, fromLen int, handoff *Handoff) {
	from := data[handoffPrefixLen : handoffPrefixLen+fromLen]
	if string(from) != string(o.lastFrom) {
		o.lastFrom = fleet.HostID(from)
	}
	numbers := data[handoffPrefixLen+fromLen:]
	handoff.From, handoff.Hops, handoff.Reason = o.lastFrom, data[1], HandoffReason(data[2])
	handoff.View = binary.BigEndian.Uint64(numbers)
	handoff.Stream = binary.BigEndian.Uint64(numbers[8:])
	handoff.Sequence = binary.BigEndian.Uint64(numbers[16:])
	handoff.Sent = time.Unix(0, int64(binary.BigEndian.Uint64(numbers[24:])))
}

// checkFreshness rejects handoffs that are expired or replayed.
func (o *Opener) checkFreshness(now time.Time, handoff *Handoff) error {
	age, limit := now.Sub(handoff.Sent), o.MaxAge
	if limit == 0 {
		limit = DefaultMaxAge
	}
	if age > limit || age < -limit {
		return ReasonExpired
	}
	if o.Window == nil {
		o.Window = new(Window)
	}
	return o.Window.accept(now, limit, handoff)
}

// authenticator computes MACs without allocating.
type authenticator struct {
	hash hash.Hash
	to   []byte
	out  []byte
}

// sum returns the MAC of a handoff to receiver. It is valid until the next call.
func (a *authenticator) sum(key []byte, receiver fleet.HostID, header, inner []byte) []byte {
	if a.hash == nil {
		a.hash = hmac.New(sha256.New, key)
	}
	a.hash.Reset()
	a.to = append(append(a.to[:0], byte(len(receiver))), receiver...)
	_, _ = a.hash.Write(a.to)
	_, _ = a.hash.Write(header)
	_, _ = a.hash.Write(inner)
	a.out = a.hash.Sum(a.out[:0])
	return a.out[:macLen]
}

package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/fleet"
)

// Version is the version of the protocol between hosts.
const Version = 1

// MinKeyBytes is the length of the shortest key that a Hub accepts.
const MinKeyBytes = 16

// tagBytes is the length of the truncated HMAC-SHA-256 (RFC 4868, section 2.3)
// that precedes every envelope.
const tagBytes = 16

// Path is the transport of a message. Each path has its own sequence numbers.
type Path uint8

// Paths between hosts.
const (
	PathLink     Path = iota // WebSocket
	PathDatagram             // UDP
)

// Envelope wraps every message between hosts.
type Envelope struct {
	_           struct{} `cbor:",toarray"`
	Version     uint8
	Path        Path
	From        fleet.HostID
	Incarnation fleet.Incarnation // of From
	To          fleet.HostID
	Sequence    fleet.Sequence // increases per From, Incarnation, To and Path
	Sent        int64          // Unix time in milliseconds
	Kind        fleet.MessageKind
	Body        cbor.RawMessage
}

// SentAt returns the time at which the envelope was sealed.
func (e *Envelope) SentAt() time.Time { return time.UnixMilli(e.Sent) }

// Reason identifies why a message was refused or dropped, or a link rejected.
type Reason string

// Reasons for refusing an incoming message.
const (
	ReasonMalformed       Reason = "malformed"
	ReasonOversize        Reason = "oversize"
	ReasonUnauthenticated Reason = "unauthenticated"
	ReasonVersion         Reason = "version"
	ReasonWrongRecipient  Reason = "wrong_recipient"
	ReasonTooOld          Reason = "too_old"
	ReasonReplayed        Reason = "replayed"
	ReasonIncarnation     Reason = "old_incarnation"
	ReasonUnknownKind     Reason = "unknown_kind"
	ReasonWrongPath       Reason = "wrong_path"
)

// RefusedError reports that an incoming message was refused.
type RefusedError struct {
	Reason Reason
	Peer   fleet.HostID // empty if the sender is unknown
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "message from " + string(e.Peer) + " refused: " + string(e.Reason)
}

// decMode limits how much memory a message can make the decoder allocate.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 131072,
		MaxMapPairs:      65536,
		MaxNestedLevels:  16,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// encMode encodes times with nanoseconds so that they decode to the same instant.
var encMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// Seal encodes an envelope and prepends its authentication tag.
func Seal(key []byte, e *Envelope) ([]byte, error) {
	b, err := encMode.Marshal(e)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s for %s", e.Kind, e.To)
	}
	return PrependTag(key, b), nil
}

// PrependTag returns b preceded by its authentication tag.
func PrependTag(key, b []byte) []byte {
	return append(computeTag(key, b), b...)
}

// Open verifies the tag of a sealed envelope and decodes it. The Body does not
// alias sealed. Open checks neither the recipient nor the age.
func Open(key, sealed []byte) (*Envelope, error) {
	if len(sealed) <= tagBytes {
		return nil, &RefusedError{Reason: ReasonMalformed}
	}
	if !hmac.Equal(sealed[:tagBytes], computeTag(key, sealed[tagBytes:])) {
		return nil, &RefusedError{Reason: ReasonUnauthenticated}
	}
	e := new(Envelope)
	if err := decMode.Unmarshal(sealed[tagBytes:], e); err != nil || e.From == "" || e.Kind == "" {
		return nil, &RefusedError{Reason: ReasonMalformed}
	}
	return e, nil
}

func computeTag(key, b []byte) []byte {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write(b)
	return mac.Sum(nil)[:tagBytes]
}

// DecodeBody decodes the body of an envelope into the message type of its kind.
func DecodeBody(registry *Registry, envelope *Envelope) (fleet.Message, error) {
	message, ok := registry.New(envelope.Kind)
	if !ok {
		return nil, &RefusedError{Reason: ReasonUnknownKind, Peer: envelope.From}
	}
	if err := decMode.Unmarshal(envelope.Body, message); err != nil {
		return nil, &RefusedError{Reason: ReasonMalformed, Peer: envelope.From}
	}
	return message, nil
}

// EncodeBody encodes a message as the body of an envelope.
func EncodeBody(m fleet.Message) (cbor.RawMessage, error) {
	b, err := encMode.Marshal(m)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s", m.Kind())
	}
	return b, nil
}

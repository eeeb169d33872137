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

// Path is the way that a message travels. Each path has its own sequence.
type Path uint8

// The paths between hosts.
const (
	PathLink     Path = iota // WebSocket
	PathDatagram             // UDP
)

// Envelope surrounds every message between hosts.
type Envelope struct {
	_           struct{} `cbor:",toarray"`
	Version     uint8
	Path        Path
	From        fleet.HostID
	Incarnation fleet.Incarnation // of From
	To          fleet.HostID
	Sequence    fleet.Sequence // rises for each From, Incarnation, To and Path
	Sent        int64          // Unix time in milliseconds
	Kind        fleet.MessageKind
	Body        cbor.RawMessage
}

// SentAt returns when the envelope was sealed.
func (e *Envelope) SentAt() time.Time { return time.UnixMilli(e.Sent) }

// Reason tells why a message was refused or dropped.
type Reason string

// The reasons to refuse a message that arrived.
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

// RefusedError is the refusal of a message that arrived.
type RefusedError struct {
	Reason Reason
	Peer   fleet.HostID // empty when it is not known for certain
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "message from " + string(e.Peer) + " refused: " + string(e.Reason)
}

// decoding bounds what a message may make the decoder allocate.
var decoding = func() cbor.DecMode {
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

// encoding writes times so that the receiver gets back the same instant.
var encoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// Seal encodes an envelope and puts its tag in front.
func Seal(key []byte, e *Envelope) ([]byte, error) {
	b, err := encoding.Marshal(e)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s for %s", e.Kind, e.To)
	}
	return Tagged(key, b), nil
}

// Tagged returns b with its tag in front.
func Tagged(key, b []byte) []byte {
	return append(tag(key, b), b...)
}

// Open checks the tag of a sealed envelope and decodes it. Its Body refers to a
// copy of b. It checks neither the recipient nor the age.
func Open(key, b []byte) (*Envelope, error) {
	if len(b) <= tagBytes {
		return nil, &RefusedError{Reason: ReasonMalformed}
	}
	if !hmac.Equal(b[:tagBytes], tag(key, b[tagBytes:])) {
		return nil, &RefusedError{Reason: ReasonUnauthenticated}
	}
	e := new(Envelope)
	if err := decoding.Unmarshal(b[tagBytes:], e); err != nil || e.From == "" || e.Kind == "" {
		return nil, &RefusedError{Reason: ReasonMalformed}
	}
	return e, nil
}

func tag(key, b []byte) []byte {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write(b)
	return mac.Sum(nil)[:tagBytes]
}

// DecodeBody decodes the body of an envelope into a message of its kind.
func DecodeBody(r *Registry, e *Envelope) (fleet.Message, error) {
	m, ok := r.New(e.Kind)
	if !ok {
		return nil, &RefusedError{Reason: ReasonUnknownKind, Peer: e.From}
	}
	if err := decoding.Unmarshal(e.Body, m); err != nil {
		return nil, &RefusedError{Reason: ReasonMalformed, Peer: e.From}
	}
	return m, nil
}

// EncodeBody encodes a message.
func EncodeBody(m fleet.Message) (cbor.RawMessage, error) {
	b, err := encoding.Marshal(m)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s", m.Kind())
	}
	return b, nil
}

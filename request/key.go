package request

import (
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/rattanthread/rattanthread/fleet"
)

// Key is an idempotency key: a UUID of version 7, which carries its time of
// issue, and optionally the data centre that it belongs to.
type Key struct {
	DataCentre fleet.DataCentreID `cbor:"data_centre"`
	ID         uuid.UUID          `cbor:"i_d"`
}

// uuidLength is the length of the canonical form of a UUID.
const uuidLength = 36

// ParseKey reads "uuid" or "datacentre/uuid". The UUID has to be of version 7
// and in the canonical form of RFC 9562.
func ParseKey(s string) (Key, error) {
	var k Key
	if centre, rest, ok := strings.Cut(s, "/"); ok {
		if centre == "" {
			return Key{}, errors.New("parse key: empty data centre")
		}
		k.DataCentre, s = fleet.DataCentreID(centre), rest
	}
	if len(s) != uuidLength {
		return Key{}, errors.Errorf("parse key: %d characters, want %d", len(s), uuidLength)
	}
	id, err := uuid.Parse(s)
	if err != nil {
		return Key{}, errors.Wrap(err, "parse key")
	}
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return Key{}, errors.Errorf("parse key: UUID of version %d, want 7", id.Version())
	}
	k.ID = id
	return k, nil
}

// String returns the form that ParseKey reads.
func (k Key) String() string {
	if k.DataCentre == "" {
		return k.ID.String()
	}
	return string(k.DataCentre) + "/" + k.ID.String()
}

// Issued returns the time of issue, to the millisecond, by the caller's clock.
func (k Key) Issued() time.Time {
	ms := int64(0)
	for _, b := range k.ID[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// check refuses keys from the future and keys past their lifetime. A request
// whose key is past its lifetime may have run earlier.
func (k Key) check(now time.Time, l Limits) (Verdict, bool) {
	if k.Issued().After(now.Add(l.MaxSkew)) {
		return Verdict{Decision: DecisionRefused, Reason: ReasonKeyFromFuture, Earlier: EarlierNone}, false
	}
	if now.After(k.Issued().Add(l.KeyLifetime)) {
		return Verdict{Decision: DecisionUnknown, Reason: ReasonKeyExpired}, false
	}
	return Verdict{}, true
}

package request

import (
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/rattanthread/rattanthread/fleet"
)

// Key is an idempotency key: a version 7 UUID, which contains its time of issue,
// and optionally the data centre that the key belongs to.
type Key struct {
	DataCentre fleet.DataCentreID `cbor:"data_centre"`
	ID         uuid.UUID          `cbor:"i_d"`
}

// uuidLength is the length of the canonical form of a UUID.
const uuidLength = 36

// ParseKey parses "uuid" or "datacentre/uuid". The UUID must have version 7 and
// the canonical form of RFC 9562.
func ParseKey(s string) (Key, error) {
	var key Key
	if dataCentre, rest, ok := strings.Cut(s, "/"); ok {
		if dataCentre == "" {
			return Key{}, errors.New("parse key: empty data centre")
		}
		key.DataCentre, s = fleet.DataCentreID(dataCentre), rest
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
	key.ID = id
	return key, nil
}

// String returns the form that ParseKey accepts.
func (k Key) String() string {
	if k.DataCentre == "" {
		return k.ID.String()
	}
	return string(k.DataCentre) + "/" + k.ID.String()
}

// Issued returns the time of issue by the caller's clock, in whole milliseconds.
func (k Key) Issued() time.Time {
	ms := int64(0)
	for _, b := range k.ID[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// check rejects keys from the future and expired keys. The outcome for an
// expired key is unknown, as an earlier attempt may have run.
func (k Key) check(now time.Time, l Limits) (Verdict, bool) {
	if k.Issued().After(now.Add(l.MaxSkew)) {
		return Verdict{Decision: DecisionRefused, Reason: ReasonKeyFromFuture, Earlier: EarlierNone}, false
	}
	if now.After(k.Issued().Add(l.KeyLifetime)) {
		return Verdict{Decision: DecisionUnknown, Reason: ReasonKeyExpired}, false
	}
	return Verdict{}, true
}

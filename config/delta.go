package config

import (
	"cmp"
	"maps"
	"slices"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/fleet"
)

// Delta is the difference between two sets: the objects to put and the names to
// remove. Its size depends on the change, not on the set.
type Delta struct {
	DataCentres Changes[fleet.DataCentreID, DataCentre] `cbor:"data_centres,omitzero"`
	Services    Changes[fleet.ServiceName, Service]     `cbor:"services,omitzero"`
	Servers     Changes[fleet.ServerID, Server]         `cbor:"servers,omitzero"`
	Rules       Changes[RuleName, Rule]                 `cbor:"rules,omitzero"`
	// Base and Result are the digests of the sets before and after the change.
	Base   Digest `cbor:"base"`
	Result Digest `cbor:"result"`
}

// Changes holds the changes to the objects of one kind.
type Changes[K cmp.Ordered, T any] struct {
	Put     []T `cbor:"put,omitempty"`
	Removed []K `cbor:"removed,omitempty"`
}

// IsZero reports whether there are no changes.
func (c Changes[K, T]) IsZero() bool { return len(c.Put) == 0 && len(c.Removed) == 0 }

// IsEmpty reports whether the delta changes nothing.
func (d Delta) IsEmpty() bool {
	return d.DataCentres.IsZero() && d.Services.IsZero() && d.Servers.IsZero() && d.Rules.IsZero()
}

// Compare returns the delta from old to updated. Both must be normalised.
func Compare(old, updated Set) Delta {
	return Delta{
		DataCentres: compare(old.DataCentres, updated.DataCentres, DataCentre.key, DataCentre.equal),
		Services:    compare(old.Services, updated.Services, Service.key, Service.equal),
		Servers:     compare(old.Servers, updated.Servers, Server.key, Server.equal),
		Rules:       compare(old.Rules, updated.Rules, Rule.key, Rule.equal),
		Base:        old.Digest(),
		Result:      updated.Digest(),
	}
}

// Apply applies the delta to base and returns the result. It fails if the digest
// of base or of the result differs from the one in the delta.
func (d Delta) Apply(base Set) (Set, error) {
	if base.Digest() != d.Base {
		return Set{}, errors.New("apply delta: base differs from the set that the delta was computed from")
	}
	result := Set{
		DataCentres: d.DataCentres.apply(base.DataCentres, DataCentre.key),
		Services:    d.Services.apply(base.Services, Service.key),
		Servers:     d.Servers.apply(base.Servers, Server.key),
		Rules:       d.Rules.apply(base.Rules, Rule.key),
	}
	if result.Digest() != d.Result {
		return Set{}, errors.New("apply delta: result differs from the published set")
	}
	return result, nil
}

// Encode returns the deterministic CBOR encoding of the delta.
func (d Delta) Encode() ([]byte, error) {
	data, err := encMode.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "encode delta")
	}
	return data, nil
}

// DecodeDelta decodes a delta.
func DecodeDelta(data []byte) (Delta, error) {
	var d Delta
	err := decMode.Unmarshal(data, &d)
	if err != nil {
		return Delta{}, errors.Wrap(err, "decode delta")
	}
	return d, nil
}

func compare[K cmp.Ordered, T any](old, updated []T, key func(T) K, equal func(a, b T) bool) Changes[K, T] {
	var changes Changes[K, T]
	before := byKey(old, key)
	after := byKey(updated, key)
	for _, value := range updated {
		if previous, ok := before[key(value)]; !ok || !equal(previous, value) {
			changes.Put = append(changes.Put, value)
		}
	}
	for _, value := range old {
		if _, ok := after[key(value)]; !ok {
			changes.Removed = append(changes.Removed, key(value))
		}
	}
	return changes
}

func (c Changes[K, T]) apply(base []T, key func(T) K) []T {
	values := byKey(base, key)
	for _, name := range c.Removed {
		delete(values, name)
	}
	for _, value := range c.Put {
		values[key(value)] = value
	}
	result := make([]T, 0, len(values))
	for _, value := range values {
		result = append(result, value)
	}
	slices.SortFunc(result, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return nilIfEmpty(result)
}

func byKey[K cmp.Ordered, T any](values []T, key func(T) K) map[K]T {
	m := make(map[K]T, len(values))
	for _, value := range values {
		m[key(value)] = value
	}
	return m
}

// sortedKeys returns the union of the keys of both maps, sorted.
func sortedKeys[K cmp.Ordered, T any](a, b map[K]T) []K {
	keys := slices.Collect(maps.Keys(a))
	for key := range b {
		if _, ok := a[key]; !ok {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

package config

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// MaxEncodedBytes is the maximum size of an encoded Set or PublishedSet, after
// decompression.
const MaxEncodedBytes = 16 << 20

// maxObjects is the maximum number of objects of one kind in an encoding.
const maxObjects = 1 << 17

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

func newEncMode() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339NanoUTC
	options.NilContainers = cbor.NilContainerAsEmpty
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecMode() cbor.DecMode {
	options := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxArrayElements: maxObjects,
		MaxNestedLevels:  16,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the deterministic CBOR encoding of the set. Equal normalised
// sets give equal bytes.
func (s Set) Encode() ([]byte, error) {
	data, err := encMode.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	return data, nil
}

// Decode decodes a set.
func Decode(data []byte) (Set, error) {
	var s Set
	if len(data) > MaxEncodedBytes {
		return s, errors.Errorf("decode configuration: %d bytes, more than %d", len(data), MaxEncodedBytes)
	}
	if err := decMode.Unmarshal(data, &s); err != nil {
		return Set{}, errors.Wrap(err, "decode configuration")
	}
	s.clearEmpty()
	return s, nil
}

// Digest returns a hash of the set's encoding. Hosts compare digests to find out
// whether they hold the same set.
func (s Set) Digest() Digest {
	data, err := s.Encode()
	if err != nil {
		return 0
	}
	return Digest(xxhash.Sum64(data))
}

// Digest is a hash of a set. It detects differences and corruption, not forgery.
type Digest uint64

// Encode returns the compressed CBOR encoding, in which the platform stores the
// set.
func (p PublishedSet) Encode() ([]byte, error) {
	data, err := encMode.Marshal(p)
	if err != nil {
		return nil, errors.Wrap(err, "encode revision")
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Wrap(err, "compress revision")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress revision")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress revision")
	}
	return compressed.Bytes(), nil
}

// DecodePublishedSet decompresses and decodes a published set.
func DecodePublishedSet(compressed []byte) (PublishedSet, error) {
	var p PublishedSet
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), MaxEncodedBytes+1))
	if err != nil {
		if err != nil {
			return PublishedSet{}, errors.Wrap(err, "decompress revision")
		}
		return p, nil
	}
	if len(data) > MaxEncodedBytes {
		return p, errors.Errorf("decompress revision: more than %d bytes", MaxEncodedBytes)
	}
	if err := decMode.Unmarshal(data, &p); err != nil {
		return PublishedSet{}, errors.Wrap(err, "decode revision")
	}
	p.Set.clearEmpty()
	return p, nil
}

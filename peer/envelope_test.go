package peer_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/peer"
)

func ExampleSeal() {
	body, _ := peer.EncodeBody(&note{"hello"})
	sealed, _ := peer.Seal(key, &peer.Envelope{From: "a", To: "b", Kind: "test_note", Body: body})
	e, _ := peer.Open(key, sealed)
	m, _ := peer.DecodeBody(registry(), e)
	fmt.Println(e.From, m.(*note).Text)
	// Output: a hello
}

func TestEveryFlippedBitIsRefused(t *testing.T) {
	is := is.New(t)
	sealed := envelope(t, func(*peer.Envelope) {})
	for i := range len(sealed) * 8 {
		sealed[i/8] ^= 1 << (i % 8)
		_, err := peer.Open(key, sealed)
		sealed[i/8] ^= 1 << (i % 8)
		var refused *peer.RefusedError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Reason, peer.ReasonUnauthenticated)
	}
}

// FuzzOpen gives the decoder bytes with a valid tag: it must refuse or decode
// them, and what it decodes must survive another round.
func FuzzOpen(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := peer.Open(key, peer.Tagged(key, b))
		if err != nil {
			var refused *peer.RefusedError
			is.New(t).True(errors.As(err, &refused))
			return
		}
		_, _ = peer.DecodeBody(registry(), e)
		sealed, err := peer.Seal(key, e)
		if err != nil {
			return // a body that is no CBOR by itself
		}
		again, err := peer.Open(key, sealed)
		is.New(t).NoErr(err)
		is.New(t).Equal(again.From, e.From)
		is.New(t).Equal(again.Sequence, e.Sequence)
	})
}

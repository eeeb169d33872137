package peer_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/peer"
)

func ExampleSeal() {
	body, _ := peer.EncodeBody(&testMessage{"hello"})
	sealed, _ := peer.Seal(key, &peer.Envelope{From: "a", To: "b", Kind: "test_note", Body: body})
	e, _ := peer.Open(key, sealed)
	m, _ := peer.DecodeBody(newRegistry(), e)
	fmt.Println(e.From, m.(*testMessage).Text)
	// Output: a hello
}

func TestEveryFlippedBitIsRefused(t *testing.T) {
	is := is.New(t)
	sealed := sealedEnvelope(t, func(*peer.Envelope) {})
	for i := range len(sealed) * 8 {
		sealed[i/8] ^= 1 << (i % 8)
		_, err := peer.Open(key, sealed)
		sealed[i/8] ^= 1 << (i % 8)
		var refused *peer.RefusedError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Reason, peer.ReasonUnauthenticated)
	}
}

// FuzzOpen passes bytes with a valid tag to the decoder, which must refuse or decode
// them. A decoded envelope must survive sealing and opening.
func FuzzOpen(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		envelope, err := peer.Open(key, peer.PrependTag(key, data))
		if err != nil {
			var refused *peer.RefusedError
			is.New(t).True(errors.As(err, &refused))
			return
		}
		_, _ = peer.DecodeBody(newRegistry(), envelope)
		sealed, err := peer.Seal(key, envelope)
		if err != nil {
			return // the body is not valid CBOR on its own
		}
		reopened, err := peer.Open(key, sealed)
		is.New(t).NoErr(err)
		is.New(t).Equal(reopened.From, envelope.From)
		is.New(t).Equal(reopened.Sequence, envelope.Sequence)
	})
}

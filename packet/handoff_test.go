package packet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/packet"
)

var (
	start   = time.Unix(1_700_000_000, 0)
	peerKey = []byte("0123456789abcdef")
)

func ExampleSealer() {
	sealer := packet.Sealer{Key: peerKey, From: "a1", Stream: 1}
	opener := packet.Opener{Key: peerKey, Self: "a2"}
	sealed, err := sealer.AppendSealed(nil, start, "a2", 7, []byte("inner"))
	if err != nil {
		fmt.Println(err)
		return
	}
	var handoff packet.Handoff
	inner, err := opener.Open(start, sealed, &handoff)
	fmt.Println(string(inner), handoff.From, handoff.View, err)
	_, err = opener.Open(start, sealed, &handoff)
	fmt.Println(err)
	// Output:
	// inner a1 7 <nil>
	// packet: replayed
}

func seal(t testing.TB, s *packet.Sealer, to fleet.HostID) []byte {
	t.Helper()
	s.Key, s.From = peerKey, "a1"
	sealed, err := s.AppendSealed(nil, start, to, 7, syn(t))
	if err != nil {
		t.Fatal(err)
	}
	return sealed
}

func TestOpenRefuses(t *testing.T) {
	good := seal(t, new(packet.Sealer), "a2")
	flip := func(at int) []byte {
		out := append([]byte(nil), good...)
		out[at] ^= 1
		return out
	}
	tests := []struct {
		name string
		data []byte
		at   time.Duration
		want packet.Reason
	}{
		{"empty", nil, 0, packet.ReasonMalformed},
		{"truncated", good[:30], 0, packet.ReasonMalformed},
		{"version", flip(0), 0, packet.ReasonMalformed},
		{"hops", flip(1), 0, packet.ReasonForged},
		{"sender", flip(4), 0, packet.ReasonForged},
		{"MAC", flip(40), 0, packet.ReasonForged},
		{"inner", flip(len(good) - 1), 0, packet.ReasonForged},
		{"truncated inner", good[:len(good)-1], 0, packet.ReasonForged},
		{"for another host", seal(t, new(packet.Sealer), "a3"), 0, packet.ReasonForged},
		{"expired", good, packet.DefaultMaxAge + 1, packet.ReasonExpired},
		{"sent in the future", good, -packet.DefaultMaxAge - 1, packet.ReasonExpired},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			opener := packet.Opener{Key: peerKey, Self: "a2"}
			_, err := opener.Open(start.Add(test.at), test.data, new(packet.Handoff))
			is.Equal(err, error(test.want))
		})
	}
}

func TestOpenWithoutKeyRefusesAll(t *testing.T) {
	is := is.New(t)
	opener := packet.Opener{Self: "a2"}
	_, err := opener.Open(start, seal(t, new(packet.Sealer), "a2"), new(packet.Handoff))
	is.Equal(err, error(packet.ReasonForged))
	_, err = new(packet.Sealer).AppendSealed(nil, start, "a2", 0, nil)
	is.True(err != nil)
}

// TestWindow opens each packet of a stream twice and out of order. Each must be
// accepted exactly once, and one that is behind the window not at all.
func TestWindow(t *testing.T) {
	const packets = 5000
	for _, step := range []int{1, 3, 64, 700} {
		is := is.New(t)
		var sealer packet.Sealer
		sealed := make([][]byte, packets)
		for i := range sealed {
			sealed[i] = seal(t, &sealer, "a2")
		}
		window := new(packet.Window)
		openers := [2]packet.Opener{
			{Key: peerKey, Self: "a2", Window: window},
			{Key: peerKey, Self: "a2", Window: window},
		}
		for first := 0; first < packets; first += step {
			block := sealed[first:min(first+step, packets)]
			for i := range block {
				_, err := openers[i%2].Open(start, block[len(block)-1-i], new(packet.Handoff))
				is.NoErr(err)
			}
			for i := range block {
				_, err := openers[i%2].Open(start, block[i], new(packet.Handoff))
				is.Equal(err, error(packet.ReasonReplayed))
			}
		}
		_, err := openers[0].Open(start, sealed[packets-1-1024], new(packet.Handoff))
		is.Equal(err, error(packet.ReasonReplayed))
	}
}

func TestHandoffDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	sealer := packet.Sealer{Key: peerKey, From: "a1"}
	opener := packet.Opener{Key: peerKey, Self: "a2"}
	inner, buf := syn(t), make([]byte, 0, 2048)
	var handoff packet.Handoff
	is.Equal(testing.AllocsPerRun(100, func() {
		buf, _ = sealer.AppendSealed(buf[:0], start, "a2", 7, inner)
		_, _ = opener.Open(start, buf, &handoff)
	}), 0.0)
}

func FuzzOpen(f *testing.F) {
	f.Add(seal(f, new(packet.Sealer), "a2"))
	opener := packet.Opener{Key: []byte("another key"), Self: "a2"}
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := opener.Open(start, data, new(packet.Handoff)); err == nil {
			t.Fatal("opened without the key")
		}
	})
}

func BenchmarkSealOpen(b *testing.B) {
	sealer := packet.Sealer{Key: peerKey, From: "a1"}
	opener := packet.Opener{Key: peerKey, Self: "a2"}
	inner, buf := make([]byte, 1400), make([]byte, 0, 2048)
	var handoff packet.Handoff
	b.ReportAllocs()
	for b.Loop() {
		buf, _ = sealer.AppendSealed(buf[:0], start, "a2", 7, inner)
		_, _ = opener.Open(start, buf, &handoff)
	}
}

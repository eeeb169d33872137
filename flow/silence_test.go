package flow_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/flow"
)

// callerPacket is a packet from a caller, sent at a time after the first packet.
type callerPacket struct {
	at       time.Duration
	sequence uint32
	ack      uint32
	payload  int
}

func TestSilence(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name    string
		packets []callerPacket
		want    bool
	}{
		{"retransmissions", []callerPacket{{0, 10, 5, 100}, {3 * s, 10, 5, 100}, {31 * s, 10, 5, 100}}, true},
		{"not long enough", []callerPacket{{0, 10, 5, 100}, {29 * s, 10, 5, 100}}, false},
		{"answered", []callerPacket{{0, 10, 5, 100}, {20 * s, 10, 5, 100}, {25 * s, 110, 5, 100}, {40 * s, 110, 5, 100}}, false},
		{"acknowledgement moves on", []callerPacket{{0, 10, 5, 100}, {31 * s, 10, 6, 100}}, false},
		{"quiet for minutes", []callerPacket{{0, 10, 5, 100}, {600 * s, 110, 5, 100}}, false},
		{"keep-alives", []callerPacket{{0, 10, 5, 0}, {75 * s, 9, 5, 0}, {150 * s, 9, 5, 1}, {225 * s, 9, 5, 1}}, false},
		{"late packet between", []callerPacket{{0, 110, 5, 100}, {9 * s, 10, 5, 100}, {31 * s, 110, 5, 100}}, true},
		{"sequence wraps", []callerPacket{{0, 1<<32 - 50, 5, 100}, {20 * s, 50, 5, 100}, {40 * s, 50, 5, 100}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var detector flow.SilenceDetector
			got := false
			for _, p := range test.packets {
				got = got || detector.Observe(epoch.Add(p.at), p.input(1), flow.DefaultSilentTimeout)
			}
			is.Equal(got, test.want)
		})
	}
}

func (p callerPacket) input(i int) *flow.Input {
	return &flow.Input{Key: testKey(i), ACK: true, Sequence: p.sequence, Acknowledgement: p.ack, PayloadLen: p.payload}
}

func TestSilenceIsBounded(t *testing.T) {
	is := is.New(t)
	detector := flow.SilenceDetector{Flows: 64}
	for i := range 10_000 {
		is.True(!detector.Observe(epoch, callerPacket{0, 10, 5, 100}.input(i), flow.DefaultSilentTimeout))
	}
	is.True(detector.Untracked() >= 10_000-64)
	in := callerPacket{0, 10, 5, 100}.input(1)
	is.Equal(testing.AllocsPerRun(100, func() { detector.Observe(epoch, in, flow.DefaultSilentTimeout) }), 0.0)
}

// TestSilenceOverHosts measures how long it takes to detect silent flows when the
// packets of each are spread over several hosts with independent detectors. Callers
// back off exponentially from 200 ms to 120 s.
func TestSilenceOverHosts(t *testing.T) {
	is := is.New(t)
	for _, hosts := range []int{1, 3, 9, 490} {
		random := rand.New(rand.NewPCG(*seed, 0))
		var ended []time.Duration
		for i := range 1000 {
			if at, ok := detectSilent(random, i, hosts); ok {
				ended = append(ended, at)
			}
		}
		if len(ended) == 0 {
			t.Logf("%d hosts: no flow ended in 924 s", hosts)
			continue
		}
		slices.Sort(ended)
		t.Logf("%d hosts: %d of 1000 flows ended, half of these after %v, nine tenths after %v",
			hosts, len(ended), ended[len(ended)/2], ended[len(ended)*9/10])
		if hosts == 1 {
			is.Equal(ended[0], ended[len(ended)-1])
			is.True(ended[0] < 2*flow.DefaultSilentTimeout)
		}
	}
}

// detectSilent returns when the first host detects that flow i is silent, within
// the 15 retransmissions that Linux makes.
func detectSilent(random *rand.Rand, i, hosts int) (time.Duration, bool) {
	detectors := make([]flow.SilenceDetector, hosts)
	at, wait := time.Duration(0), 200*time.Millisecond
	for range 16 {
		detector := &detectors[random.IntN(hosts)]
		detector.Flows = 64
		if detector.Observe(epoch.Add(at), callerPacket{0, 10, 5, 100}.input(i), flow.DefaultSilentTimeout) {
			return at, true
		}
		at += wait
		wait = min(2*wait, 2*time.Minute)
	}
	return 0, false
}

package capacity

import (
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/control"
	"github.com/rattanthread/rattanthread/fleet"
)

// EnvelopeBytes is what surrounds an encoded message on the way to a peer: the
// envelope with its tag, and the headers of IPv4 and TCP.
const EnvelopeBytes = 80 + 52

// Phase names a part of a measurement.
type Phase string

// The phases, in their order.
const (
	PhaseStart  Phase = "start"  // the host finds its peers; no service yet
	PhaseAdopt  Phase = "adopt"  // the first tables, every server warm
	PhaseSteady Phase = "steady" // nothing changes
	PhaseChange Phase = "change" // a revision with one changed server
	PhaseDeath  Phase = "death"  // a peer dies
	PhaseCold   Phase = "cold"   // the servers of one data centre turn cold at once
	PhaseJoin   Phase = "join"   // the first tables of a host that knows of no warm server
)

// Cost is what the measured host spent in one phase.
type Cost struct {
	Phase    Phase
	Span     time.Duration // virtual time
	Spent    time.Duration // in Step, wall clock, coding and sockets left out
	Slowest  time.Duration // the longest Step
	Sent     int           // messages
	Received int           // messages
	// SentBytes and ReceivedBytes include EnvelopeBytes for each message.
	SentBytes     int
	ReceivedBytes int
	// Kinds holds the bytes sent and received of each kind of message.
	Kinds map[fleet.MessageKind]int
	Heap  uint64 // bytes in use by the host at the end, garbage collected
}

// run is a measurement under way.
type run struct {
	size  Size
	peers *peers
	core  *control.Core
	now   time.Time
	cost  *Cost
	cold  map[fleet.ServerID]bool
	empty uint64 // heap in use without the core
	err   error
}

// Measure runs one host in a fleet of the given size through all phases. It
// calls report after each.
func Measure(size Size, report func(Cost)) error {
	r := &run{size: size, peers: newPeers(size), now: started, cold: make(map[fleet.ServerID]bool)}
	r.empty = heap()
	r.core = control.New(control.Options{Self: r.peers.self(), Random: rand.New(rand.NewPCG(1, 2))})
	for _, p := range r.phases() {
		r.cost = &Cost{Phase: p.phase, Span: p.span, Kinds: make(map[fleet.MessageKind]int)}
		p.begin()
		r.run(p.span)
		r.cost.Heap = heap() - r.empty
		report(*r.cost)
	}
	runtime.KeepAlive(r)
	if r.err != nil {
		return errors.Wrap(r.err, "encode a message")
	}
	return nil
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// step gives the core an event, and the peers' answers after it.
func (r *run) step(event control.Event) {
	begin := time.Now()
	out := r.core.Step(r.now, event)
	spent := time.Since(begin)
	r.cost.Spent += spent
	r.cost.Slowest = max(r.cost.Slowest, spent)
	for _, s := range out.Sends {
		r.cost.Sent++
		r.cost.SentBytes += r.bytes(s.Message)
		to, ok := r.core.Lookup(s.To)
		if !ok {
			continue
		}
		if answer := r.peers.answer(to, s.Message); answer != nil {
			r.receive(to.ID, answer)
		}
	}
}

func (r *run) receive(from fleet.HostID, m fleet.Message) {
	r.cost.Received++
	r.cost.ReceivedBytes += r.bytes(m)
	r.step(&control.MessageReceived{From: from, Message: m})
}

func (r *run) bytes(m fleet.Message) int {
	data, err := cbor.Marshal(m)
	if err != nil {
		r.err = err
	}
	n := len(data) + EnvelopeBytes
	r.cost.Kinds[m.Kind()] += n
	return n
}

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

// OverheadBytes is the overhead of sending an encoded message to a peer: the
// envelope with its tag, and the headers of IPv4 and TCP.
const OverheadBytes = 80 + 52

// Phase is a part of a measurement.
type Phase string

// The phases, in the order in which they run. PhaseJoin is measured by Join.
const (
	PhaseStart  Phase = "start"  // the host discovers its peers, without services
	PhaseAdopt  Phase = "adopt"  // the host builds the first tables, with all servers warm
	PhaseSteady Phase = "steady" // nothing changes
	PhaseChange Phase = "change" // a revision changes one server
	PhaseDeath  Phase = "death"  // a peer fails
	PhaseCold   Phase = "cold"   // the servers of one data centre become cold at the same time
	PhaseJoin   Phase = "join"   // the host builds the first tables, with no server known to be warm
)

// Cost is the cost of one phase for the measured host.
type Cost struct {
	Phase    Phase
	Span     time.Duration // virtual time
	Spent    time.Duration // wall clock time in Step, without encoding and sockets
	Slowest  time.Duration // longest Step
	Sent     int           // messages
	Received int           // messages
	// SentBytes and ReceivedBytes include OverheadBytes for each message.
	SentBytes     int
	ReceivedBytes int
	// Kinds holds the number of bytes sent and received by kind of message.
	Kinds map[fleet.MessageKind]int
	Heap  uint64 // bytes in use by the host at the end, after a garbage collection
}

// measurement is the state of a running measurement.
type measurement struct {
	size     Size
	peers    *peers
	core     *control.Core
	now      time.Time
	cost     *Cost
	cold     map[fleet.ServerID]bool
	baseHeap uint64 // heap in use without the core
	err      error
}

// Measure runs one host in a fleet of the given size through all phases. It
// calls report after each.
func Measure(size Size, report func(Cost)) error {
	m := &measurement{size: size, peers: newPeers(size), now: startTime, cold: make(map[fleet.ServerID]bool)}
	m.baseHeap = heapBytes()
	m.core = control.New(control.Options{Self: m.peers.self(), Random: rand.New(rand.NewPCG(1, 2))})
	for _, p := range m.phases() {
		m.cost = &Cost{Phase: p.name, Span: p.span, Kinds: make(map[fleet.MessageKind]int)}
		p.setUp()
		m.advance(p.span)
		m.cost.Heap = heapBytes() - m.baseHeap
		report(*m.cost)
	}
	runtime.KeepAlive(m)
	if m.err != nil {
		return errors.Wrap(m.err, "encode message")
	}
	return nil
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// step passes an event to the core, and then the peers' responses to its messages.
func (m *measurement) step(event control.Event) {
	start := time.Now()
	out := m.core.Step(m.now, event)
	spent := time.Since(start)
	m.cost.Spent += spent
	m.cost.Slowest = max(m.cost.Slowest, spent)
	for _, send := range out.Sends {
		m.cost.Sent++
		m.cost.SentBytes += m.messageBytes(send.Message)
		to, ok := m.core.Lookup(send.To)
		if !ok {
			continue
		}
		if response := m.peers.respond(to, send.Message); response != nil {
			m.receive(to.ID, response)
		}
	}
}

func (m *measurement) receive(from fleet.HostID, message fleet.Message) {
	m.cost.Received++
	m.cost.ReceivedBytes += m.messageBytes(message)
	m.step(&control.MessageReceived{From: from, Message: message})
}

func (m *measurement) messageBytes(message fleet.Message) int {
	data, err := cbor.Marshal(message)
	if err != nil {
		m.err = err
	}
	n := len(data) + OverheadBytes
	m.cost.Kinds[message.Kind()] += n
	return n
}

package backend

import (
	"sync"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

const (
	// maxHandshakes bounds the opening flows that are watched.
	maxHandshakes = 4096
	// handshakeAge is how long an opening flow is watched.
	handshakeAge = 10 * time.Second
)

// Handshakes watches flows that are being opened. Servers answer callers
// directly, so this host sees only the callers' side: the packet after a SYN
// shows that the server answered, and a repeated SYN that it did not. The
// fabric spreads the packets of a flow over all hosts, so each host sees a
// sample. The zero value is ready for use.
type Handshakes struct {
	mu   sync.Mutex
	open map[fleet.FlowKey]handshake
	ring [maxHandshakes]fleet.FlowKey
	next int
}

type handshake struct {
	server fleet.ServerID
	at     time.Time
}

// Packet is what Handshakes needs to know of a packet that was forwarded. The
// flags are those of TCP.
type Packet struct {
	Key           fleet.FlowKey
	SYN, ACK, RST bool
	Server        fleet.ServerID // to which it was forwarded
}

// Observe notes a packet that was forwarded, and returns the evidence that it
// is, if any.
func (h *Handshakes) Observe(now time.Time, p Packet) (Evidence, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen, ok := h.open[p.Key]
	ok = ok && seen.server == p.Server && now.Sub(seen.at) < handshakeAge
	switch {
	case p.Key.Protocol == fleet.ProtocolUDP && ok:
	case p.Key.Protocol == fleet.ProtocolUDP:
		// No packet shows that the server answered. That a new flow was
		// forwarded to it has to do; health reports tell when it fails.
		h.watch(p.Key, handshake{server: p.Server, at: now})
		return Evidence{Server: p.Server, Kind: EvidenceServed}, true
	case p.SYN && ok:
		return Evidence{Server: p.Server, Kind: EvidenceRepeatedSYN}, true
	case p.SYN:
		h.watch(p.Key, handshake{server: p.Server, at: now})
	case ok && p.ACK && !p.RST:
		delete(h.open, p.Key)
		return Evidence{Server: p.Server, Kind: EvidenceServed}, true
	}
	return Evidence{}, false
}

// watch adds a flow in place of the oldest one.
func (h *Handshakes) watch(key fleet.FlowKey, seen handshake) {
	if h.open == nil {
		h.open = make(map[fleet.FlowKey]handshake, maxHandshakes)
	}
	delete(h.open, h.ring[h.next])
	h.ring[h.next] = key
	h.next = (h.next + 1) % maxHandshakes
	h.open[key] = seen
}

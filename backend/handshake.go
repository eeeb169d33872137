package backend

import (
	"sync"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

const (
	// maxHandshakes is the maximum number of flows being opened that are tracked.
	maxHandshakes = 4096
	// handshakeTimeout is how long a flow being opened is tracked.
	handshakeTimeout = 10 * time.Second
)

// HandshakeTracker tracks flows that are being opened. Servers respond to callers
// directly, so this host sees only the callers' packets: an ACK after a SYN shows
// that the server responded, and a repeated SYN that it did not. The fabric spreads
// the packets of a flow over all hosts, so each host sees a sample. The zero value
// is ready to use.
type HandshakeTracker struct {
	mu   sync.Mutex
	open map[fleet.FlowKey]handshake
	ring [maxHandshakes]fleet.FlowKey
	next int
}

type handshake struct {
	server fleet.ServerID
	at     time.Time
}

// Packet describes a forwarded packet. The flags are those of TCP.
type Packet struct {
	Key           fleet.FlowKey
	SYN, ACK, RST bool
	Server        fleet.ServerID // the server that the packet was forwarded to
}

// Observe records a forwarded packet and returns the evidence that it provides, if
// any.
func (h *HandshakeTracker) Observe(now time.Time, packet Packet) (Evidence, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	opening, ok := h.open[packet.Key]
	ok = ok && opening.server == packet.Server && now.Sub(opening.at) < handshakeTimeout
	switch {
	case packet.Key.Protocol == fleet.ProtocolUDP && ok:
	case packet.Key.Protocol == fleet.ProtocolUDP:
		// No packet shows whether the server responded, so forwarding a new
		// flow counts as served. Health reports detect a failure.
		h.track(packet.Key, handshake{server: packet.Server, at: now})
		return Evidence{Server: packet.Server, Kind: EvidenceServed}, true
	case packet.SYN && ok:
		return Evidence{Server: packet.Server, Kind: EvidenceRepeatedSYN}, true
	case packet.SYN:
		h.track(packet.Key, handshake{server: packet.Server, at: now})
	case ok && packet.ACK && !packet.RST:
		delete(h.open, packet.Key)
		return Evidence{Server: packet.Server, Kind: EvidenceServed}, true
	}
	return Evidence{}, false
}

// track adds a flow, replacing the oldest one.
func (h *HandshakeTracker) track(key fleet.FlowKey, opening handshake) {
	if h.open == nil {
		h.open = make(map[fleet.FlowKey]handshake, maxHandshakes)
	}
	delete(h.open, h.ring[h.next])
	h.ring[h.next] = key
	h.next = (h.next + 1) % maxHandshakes
	h.open[key] = opening
}

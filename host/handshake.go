package host

import (
	"sync"
	"time"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/flow"
)

const (
	// maxHandshakes bounds the opening flows that are watched.
	maxHandshakes = 4096
	// handshakeAge is how long an opening flow is watched.
	handshakeAge = 10 * time.Second
)

// handshakes watches flows that are being opened. Servers answer callers
// directly, so this host sees only the callers' side: the packet after a SYN
// shows that the server answered, and a repeated SYN that it did not. The
// fabric spreads the packets of a flow over all hosts, so each host sees a
// sample. The zero value is ready for use.
type handshakes struct {
	mu   sync.Mutex
	open map[fleet.FlowKey]handshake
	ring [maxHandshakes]fleet.FlowKey
	next int
}

type handshake struct {
	server fleet.ServerID
	at     time.Time
}

// observe notes a packet that was forwarded to server, and returns the evidence
// that it is, if any.
func (h *handshakes) observe(now time.Time, in *flow.Input, server fleet.ServerID) (backend.Evidence, bool) {
	if in.Key.Protocol != fleet.ProtocolTCP {
		return backend.Evidence{}, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	seen, ok := h.open[in.Key]
	ok = ok && seen.server == server && now.Sub(seen.at) < handshakeAge
	switch {
	case in.SYN && ok:
		return backend.Evidence{Server: server, Kind: backend.EvidenceRepeatedSYN}, true
	case in.SYN:
		h.watch(in.Key, handshake{server: server, at: now})
	case ok && in.ACK && !in.RST:
		delete(h.open, in.Key)
		return backend.Evidence{Server: server, Kind: backend.EvidenceServed}, true
	}
	return backend.Evidence{}, false
}

// watch adds a flow in place of the oldest one.
func (h *handshakes) watch(key fleet.FlowKey, seen handshake) {
	if h.open == nil {
		h.open = make(map[fleet.FlowKey]handshake, maxHandshakes)
	}
	delete(h.open, h.ring[h.next])
	h.ring[h.next] = key
	h.next = (h.next + 1) % maxHandshakes
	h.open[key] = seen
}

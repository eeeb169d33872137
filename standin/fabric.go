package standin

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/fleet"
)

// Fabric sprays packets and connections at random over the entry hosts that it
// believes to be live. It learns of a dead host only after Lag, as an
// equal-cost multipath fabric does. The zero value works once hosts are added.
// Fabric is safe for concurrent use.
type Fabric struct {
	// Lag is how long a removed host still gets packets.
	Lag time.Duration
	// Seed fixes the random choices.
	Seed uint64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Write sends a datagram; nil means a UDP socket of the fabric.
	Write func(packet []byte, to netip.AddrPort) error

	mu      sync.Mutex
	random  *rand.Rand
	members []member
	socket  *net.UDPConn
	counts  FabricCounts
}

// FabricCounts are what the fabric did.
type FabricCounts struct {
	Packets  uint64 `json:"packets"`
	NoHost   uint64 `json:"no_host"`
	Failures uint64 `json:"failures"`
}

type member struct {
	host    fleet.HostID
	packet  netip.AddrPort
	request netip.AddrPort
	removed time.Time // zero while the host is live
}

// Add makes the fabric send packets and requests to a host.
func (f *Fabric) Add(host fleet.HostID, packet, request netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.discard(func(m member) bool { return m.host == host })
	f.members = append(f.members, member{host: host, packet: packet, request: request})
}

// Remove makes the fabric forget a host after Lag.
func (f *Fabric) Remove(host fleet.HostID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.members {
		if f.members[i].host == host && f.members[i].removed.IsZero() {
			f.members[i].removed = f.now()
		}
	}
}

// Send gives an encapsulated packet to a random host.
func (f *Fabric) Send(packet []byte) {
	f.mu.Lock()
	chosen, ok := f.choose()
	if !ok {
		f.counts.NoHost++
		f.mu.Unlock()
		return
	}
	f.counts.Packets++
	f.mu.Unlock()
	if err := f.write(packet, chosen.packet); err != nil {
		f.mu.Lock()
		f.counts.Failures++
		f.mu.Unlock()
	}
}

// RequestAddress returns where the next HTTP connection goes. It is false when
// no host is known.
func (f *Fabric) RequestAddress() (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	chosen, ok := f.choose()
	return chosen.request, ok
}

// Counts returns what the fabric did so far.
func (f *Fabric) Counts() FabricCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// Close closes the fabric's socket.
func (f *Fabric) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.socket == nil {
		return nil
	}
	return f.socket.Close()
}

func (f *Fabric) choose() (member, bool) {
	now := f.now()
	f.discard(func(m member) bool {
		return !m.removed.IsZero() && now.Sub(m.removed) >= f.Lag
	})
	if len(f.members) == 0 {
		return member{}, false
	}
	if f.random == nil {
		f.random = rand.New(rand.NewPCG(f.Seed, 0))
	}
	return f.members[f.random.IntN(len(f.members))], true
}

func (f *Fabric) discard(gone func(member) bool) {
	kept := f.members[:0]
	for _, m := range f.members {
		if !gone(m) {
			kept = append(kept, m)
		}
	}
	f.members = kept
}

func (f *Fabric) write(packet []byte, to netip.AddrPort) error {
	if f.Write != nil {
		return f.Write(packet, to)
	}
	socket, err := f.open()
	if err != nil {
		return err
	}
	_, err = socket.WriteToUDPAddrPort(packet, to)
	return err
}

func (f *Fabric) open() (*net.UDPConn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.socket != nil {
		return f.socket, nil
	}
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "open the fabric's socket")
	}
	f.socket = socket
	return socket, nil
}

func (f *Fabric) now() time.Time {
	if f.Now == nil {
		return time.Now()
	}
	return f.Now()
}

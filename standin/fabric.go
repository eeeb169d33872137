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

// Fabric sends each packet and connection to a random entry host. It detects the
// removal of a host only after Lag, as an equal-cost multipath fabric does. The
// zero value is ready to use once hosts are added. Fabric is safe for concurrent
// use.
type Fabric struct {
	// Lag is how long a removed host still receives packets.
	Lag time.Duration
	// Seed is the seed of the random choices.
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

// FabricCounts holds the counters of a Fabric.
type FabricCounts struct {
	Packets  uint64 `json:"packets"`
	NoHost   uint64 `json:"no_host"`  // packets dropped for lack of a host
	Failures uint64 `json:"failures"` // failed writes
}

type member struct {
	host           fleet.HostID
	packetAddress  netip.AddrPort
	requestAddress netip.AddrPort
	removedAt      time.Time // zero unless the host was removed
}

// Add adds a host, or replaces it.
func (f *Fabric) Add(host fleet.HostID, packetAddress, requestAddress netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deleteMembers(func(m member) bool { return m.host == host })
	f.members = append(f.members, member{host: host, packetAddress: packetAddress, requestAddress: requestAddress})
}

// Remove removes a host after Lag.
func (f *Fabric) Remove(host fleet.HostID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.members {
		if f.members[i].host == host && f.members[i].removedAt.IsZero() {
			f.members[i].removedAt = f.now()
		}
	}
}

// Send sends an encapsulated packet to a random host.
func (f *Fabric) Send(packet []byte) {
	f.mu.Lock()
	chosen, ok := f.randomMember()
	if !ok {
		f.counts.NoHost++
		f.mu.Unlock()
		return
	}
	f.counts.Packets++
	f.mu.Unlock()
	if err := f.write(packet, chosen.packetAddress); err != nil {
		f.mu.Lock()
		f.counts.Failures++
		f.mu.Unlock()
	}
}

// RequestAddress returns the address for the next HTTP connection. It returns
// false if there are no hosts.
func (f *Fabric) RequestAddress() (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	chosen, ok := f.randomMember()
	return chosen.requestAddress, ok
}

// Counts returns the current counters.
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

func (f *Fabric) randomMember() (member, bool) {
	now := f.now()
	f.deleteMembers(func(m member) bool {
		return !m.removedAt.IsZero() && now.Sub(m.removedAt) >= f.Lag
	})
	if len(f.members) == 0 {
		return member{}, false
	}
	if f.random == nil {
		f.random = rand.New(rand.NewPCG(f.Seed, 0))
	}
	return f.members[f.random.IntN(len(f.members))], true
}

func (f *Fabric) deleteMembers(match func(member) bool) {
	kept := f.members[:0]
	for _, m := range f.members {
		if !match(m) {
			kept = append(kept, m)
		}
	}
	f.members = kept
}

func (f *Fabric) write(packet []byte, to netip.AddrPort) error {
	if f.Write != nil {
		return f.Write(packet, to)
	}
	socket, err := f.openSocket()
	if err != nil {
		return err
	}
	_, err = socket.WriteToUDPAddrPort(packet, to)
	return err
}

func (f *Fabric) openSocket() (*net.UDPConn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.socket != nil {
		return f.socket, nil
	}
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "open fabric socket")
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

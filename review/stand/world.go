package stand

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rattanthread/rattanthread/platformstandin"
)

// Bounds of the small deployment that the stand-ins follow.
const (
	HeartbeatInterval = 770 * time.Millisecond
	StableWindow      = 4 * time.Second
	DrainBound        = 3 * time.Second
	ColdOver          = 1.5
	ColdSlack         = 5
	Warmup            = 2 * time.Second
	readinessInterval = 500 * time.Millisecond
	zone              = "tw-north-a"
)

// Service is the service of the targets, and Route its only route.
const Service = "hunt-live"

// Route is the route of Service.
var Route = netip.MustParseAddrPort("198.18.0.1:8443")

// World is a small deployment on loopback.
type World struct {
	// Store is the platform's store.
	Store platformstandin.Store
	// ColdPerSecond is what a cold target bears.
	ColdPerSecond float64

	folder  string
	record  *os.File
	started time.Time
	// network holds the first two bytes of all addresses except that of the store.
	network [2]byte
	ports   ports
	store   net.Listener
	// lock keeps other runs off the network.
	lock net.Listener

	mu      sync.Mutex
	hosts   []*Host
	targets []*Target
	random  *rand.Rand
	done    chan struct{}
	version int
	// down means that the store is down.
	down bool
}

// ports are the same on all machines.
type ports struct{ packets, readiness, peers, targets uint16 }

// New starts the store. The record of the run is written to a file.
func New(record string) (*World, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &World{
		folder: folder, record: file, started: time.Now(), store: listener, done: make(chan struct{}),
		random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)),
	}
	if err := w.chooseNetwork(); err != nil {
		return nil, err
	}
	if err := freePorts(&w.ports.packets, &w.ports.readiness, &w.ports.peers, &w.ports.targets); err != nil {
		return nil, err
	}
	go func() { _ = (&http.Server{Handler: &w.Store, ReadHeaderTimeout: time.Second}).Serve(listener) }()
	w.Store.Put("platform", "start", map[string]any{}) // the store's revisions start above 0
	w.Configure(Route)
	return w, nil
}

// chooseNetwork chooses addresses that no other run uses.
func (w *World) chooseNetwork() error {
	var err error
	for range 20 {
		w.network = [2]byte{127, byte(10 + w.random.IntN(240))}
		lock := netip.AddrPortFrom(w.address(classLock, 1), lockPort)
		if w.lock, err = net.Listen("tcp4", lock.String()); err == nil {
			return nil
		}
	}
	return err
}

// freePorts sets ports that are free on loopback, all different.
func freePorts(ports ...*uint16) error {
	for _, port := range ports {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer func() { _ = listener.Close() }()
		*port = netip.MustParseAddrPort(listener.Addr().String()).Port()
	}
	return nil
}

// Close ends all processes and removes the temporary folder.
func (w *World) Close() {
	close(w.done)
	for _, host := range w.hosts {
		host.Kill()
	}
	_, _ = w.store.Close(), w.lock.Close()
	_ = w.record.Close()
	_ = os.RemoveAll(w.folder)
}

// Logf writes a line to the record.
func (w *World) Logf(format string, args ...any) {
	line := fmt.Sprintf("%7.3f s  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.record.WriteString(line)
}

// address returns the address of a machine.
func (w *World) address(class, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{w.network[0], w.network[1], byte(class), byte(number)})
}

// Classes of machines, the third byte of their addresses.
const (
	classHost      = 1
	classTarget    = 2
	classRequester = 3
	classLock      = 4
)

// lockPort is the port of the lock of a network.
const lockPort = 9102

// Configure writes a configuration with the given routes, all to Service.
func (w *World) Configure(routes ...netip.AddrPort) {
	w.version += 2
	w.Store.Put("config", "main", render("config.json.tmpl", configRecord{
		Version: w.version, Routes: routes, Service: Service, Warmup: Warmup.Seconds(), ColdPerSecond: w.ColdPerSecond,
	}))
	w.Logf("operator: version %d of the config is in the store, %d routes", w.version, len(routes))
}

// SetDown takes the store down for everyone, or brings it back.
func (w *World) SetDown(down bool) {
	faults := platformstandin.StoreFaults{}
	if down {
		faults.Outage = platformstandin.Unavailable
	}
	w.mu.Lock()
	w.down = down
	w.mu.Unlock()
	w.Store.SetFaults(faults)
	w.Logf("store: down: %t", down)
}

func (w *World) isDown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down
}

// hostOf returns the host to which the routers send a flow, by a steady hash.
func (w *World) hostOf(flow string) *Host {
	w.mu.Lock()
	defer w.mu.Unlock()
	var best *Host
	var bestScore uint64
	for _, host := range w.hosts {
		if !host.inRotation {
			continue
		}
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(flow + host.Name))
		score := mix(hash.Sum64())
		if best == nil || score > bestScore {
			best, bestScore = host, score
		}
	}
	return best
}

// mix spreads the bits of a hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func (w *World) path(name string) string { return filepath.Join(w.folder, name) }

// Await waits until a condition holds. It returns false after the timeout.
func Await(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

package host_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/control"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/host"
	"github.com/rattanthread/rattanthread/registry"
	"github.com/rattanthread/rattanthread/registrystandin"
	"github.com/rattanthread/rattanthread/settings"
	"github.com/rattanthread/rattanthread/status"
)

const testKey = "00112233445566778899aabbccddeeff"

// freePorts returns n loopback addresses whose TCP ports were free when they were
// probed.
func freePorts(t *testing.T, n int) []netip.AddrPort {
	t.Helper()
	is := is.New(t)
	var ports []netip.AddrPort
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer func() { _ = listener.Close() }()
		ports = append(ports, netip.MustParseAddrPort(listener.Addr().String()))
	}
	return ports
}

// testFleet runs hosts in the test process and waits for their status.
type testFleet struct {
	t        *testing.T
	hosts    map[fleet.HostID]*host.Host
	settings map[fleet.HostID]settings.Settings
	changed  chan struct{}
	stop     map[fleet.HostID]context.CancelFunc
	done     sync.WaitGroup
	record   func(time.Time, control.Event)
}

func startFleet(t *testing.T, url string, ids ...fleet.HostID) *testFleet {
	f := newFleet(t, url, ids...)
	for _, id := range ids {
		f.start(id)
	}
	return f
}

// newFleet returns a fleet with settings for hosts that have not been started.
func newFleet(t *testing.T, url string, ids ...fleet.HostID) *testFleet {
	f := &testFleet{
		t:        t,
		hosts:    make(map[fleet.HostID]*host.Host),
		settings: make(map[fleet.HostID]settings.Settings),
		changed:  make(chan struct{}, 1),
		stop:     make(map[fleet.HostID]context.CancelFunc),
	}
	for _, id := range ids {
		ports := freePorts(t, 5)
		f.settings[id] = settings.Settings{
			Host:       id,
			DataCentre: "tp1",
			Listen:     settings.Listen{Packet: ports[0], Handoff: ports[1], Request: ports[2], Peer: ports[3], Admin: ports[4]},
			Platform:   settings.Platform{URL: url},
			Peers:      settings.Peers{Key: testKey},
			Limits:     settings.Limits{CallerClockSkew: 10 * time.Millisecond},
		}
	}
	t.Cleanup(f.stopAll)
	return f
}

func (f *testFleet) start(id fleet.HostID) {
	h := &host.Host{Settings: f.settings[id], Notify: f.notify, Record: f.record}
	ctx, cancel := context.WithCancel(context.Background())
	f.hosts[id], f.stop[id] = h, cancel
	f.done.Go(func() {
		if err := h.Run(ctx); err != nil {
			f.t.Errorf("run %s: %v", id, err)
		}
	})
}

func (f *testFleet) notify(status.Host) {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

func (f *testFleet) stopAll() {
	for _, h := range f.hosts {
		h.Kill()
	}
	for _, cancel := range f.stop {
		cancel()
	}
	f.done.Wait()
}

// await waits until every host satisfies the condition.
func (f *testFleet) await(condition func(status.Host) bool) {
	for !f.all(condition) {
		<-f.changed
	}
}

func (f *testFleet) all(condition func(status.Host) bool) bool {
	for _, h := range f.hosts {
		if !condition(h.Status()) {
			return false
		}
	}
	return true
}

func publish(t *testing.T, url string, set config.Set) {
	t.Helper()
	is := is.New(t)
	client := &registry.Client{URL: url}
	head, err := client.Head(t.Context())
	is.NoErr(err)
	_, err = client.Publish(t.Context(), head, set, uuid.NewString())
	is.NoErr(err)
}

func requestSet(server netip.AddrPort) config.Set {
	return config.Set{
		DataCentres: []config.DataCentre{{Name: "tp1", State: config.StateIn}},
		Services:    []config.Service{{Name: "scores", Kind: config.KindRequest, Host: "scores.test"}},
		Servers: []config.Server{{
			Name: "scores-1", Service: "scores", DataCentre: "tp1", Address: server, HealthAddress: server, ColdRate: 1000,
		}},
	}.Normalised()
}

// scoreServer starts a backend server that responds to health probes and sends the
// body of each request it runs to runs.
func scoreServer(t *testing.T, runs chan<- string) netip.AddrPort {
	t.Helper()
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			_, _ = io.WriteString(w, `{"ready": true, "instance": "1"}`)
			return
		}
		body, _ := io.ReadAll(r.Body)
		runs <- string(body)
		_, _ = io.WriteString(w, "ran "+string(body))
	}
	server := httptest.NewServer(http.HandlerFunc(handler))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func post(t *testing.T, address netip.AddrPort, key, body string) (*http.Response, string) {
	t.Helper()
	is := is.New(t)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address.String()+"/", strings.NewReader(body))
	is.NoErr(err)
	r.Host = "scores.test"
	r.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response, string(text)
}

func TestRequestRunsOnceThroughAnyHost(t *testing.T) {
	is := is.New(t)
	store := httptest.NewServer(&registrystandin.Server{})
	t.Cleanup(store.Close)
	runs := make(chan string, 100)
	publish(t, store.URL, requestSet(scoreServer(t, runs)))
	f := startFleet(t, store.URL, "a1", "a2", "a3")
	f.await(func(s status.Host) bool { return s.Ready && s.Revision == 1 && hasServers(s) })

	key := firstKnownKey(t, f.settings["a1"].Listen.Request)
	for _, id := range []fleet.HostID{"a1", "a2", "a3"} {
		response, body := postUntilAccepted(t, f.settings[id].Listen.Request, key, "score 7")
		is.Equal(response.StatusCode, http.StatusOK)
		is.Equal(body, "ran score 7")
	}
	is.Equal(len(runs), 1) // the later attempts got the response to the first one
}

// A panic in the control loop must not stop traffic permanently: the supervisor
// restarts the loop, and the host serves requests again.
func TestControlRestartsAfterCrash(t *testing.T) {
	is := is.New(t)
	store := httptest.NewServer(&registrystandin.Server{})
	t.Cleanup(store.Close)
	publish(t, store.URL, requestSet(scoreServer(t, make(chan string, 100))))
	f := newFleet(t, store.URL, "a1")
	crash := make(chan struct{}, 1)
	f.record = func(time.Time, control.Event) {
		select {
		case <-crash:
			panic("injected panic in the control loop")
		default:
		}
	}
	f.start("a1")
	f.await(func(s status.Host) bool { return s.Ready && hasServers(s) })
	crash <- struct{}{}
	f.await(func(status.Host) bool { return len(crash) == 0 })
	f.await(func(s status.Host) bool { return s.Ready && hasServers(s) })
	firstKnownKey(t, f.settings["a1"].Listen.Request)
	is.Equal(countRestarts(t, f.hosts["a1"]), 1.0)
}

func countRestarts(t *testing.T, h *host.Host) float64 {
	t.Helper()
	is := is.New(t)
	families, err := h.Registry.Gather()
	is.NoErr(err)
	var total float64
	for _, family := range families {
		if family.GetName() != "rattanthread_part_restarts_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			total += metric.GetCounter().GetValue()
		}
	}
	return total
}

func hasServers(s status.Host) bool {
	return len(s.Servers) > 0
}

// firstKnownKey posts requests with new keys until one has a known outcome, and
// returns its key. Keys that may have been in use before the fleet started have an
// unknown outcome.
func firstKnownKey(t *testing.T, address netip.AddrPort) string {
	t.Helper()
	for {
		key := uuid.Must(uuid.NewV7()).String()
		response, _ := postUntilAccepted(t, address, key, "score 7")
		if response.Header.Get("Request-Reason") != "history_lost" {
			return key
		}
	}
}

// postUntilAccepted repeats a request while it is refused: a cold server grants
// credit only on request, so the first attempts may be refused.
func postUntilAccepted(t *testing.T, address netip.AddrPort, key, body string) (*http.Response, string) {
	t.Helper()
	for {
		response, text := post(t, address, key, body)
		if response.Header.Get("Request-Outcome") != "refused" {
			return response, text
		}
		t.Log(response.StatusCode, response.Header.Get("Request-Reason"))
	}
}

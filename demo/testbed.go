package demo

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/registry"
	"github.com/rattanthread/rattanthread/registrystandin"
	"github.com/rattanthread/rattanthread/standin"
)

// answerPort is the port on which callers receive encapsulated responses.
const answerPort = 5555

const (
	fabricLag         = 500 * time.Millisecond
	healthLag         = time.Second // maximum age of a backend server's health report
	serviceTime       = 10 * time.Millisecond
	peerKeyBytes      = 32
	readHeaderTimeout = 5 * time.Second
)

// testbed holds everything that runs during a demonstration.
type testbed struct {
	demo      *Demo
	random    *mathrand.Rand
	ports     portAllocator
	startTime time.Time

	centres        []fleet.DataCentreID
	set            config.Set
	platformServer *registrystandin.Server
	platform       *registry.Client
	platformURL    string
	fabric         *standin.Fabric
	gateway        *standin.Gateway
	gatewayAddress netip.AddrPort
	hosts          []*managedHost
	flowServers    map[fleet.ServerID]*standin.FlowServer
	requestServers map[fleet.ServerID]*standin.RequestServer
	flowCallers    []*standin.FlowCaller
	requestCallers []*standin.RequestCaller
	callerSockets  []*net.UDPConn

	group         sync.WaitGroup
	callerGroup   sync.WaitGroup
	cancelCallers context.CancelFunc

	mu           sync.Mutex
	errs         []error
	observations Observations
	samples      samples
	tracker      StatusTracker
}

func newTestbed(d *Demo) (*testbed, error) {
	tb := &testbed{
		demo:           d,
		random:         mathrand.New(mathrand.NewPCG(d.Seed, 3)),
		fabric:         &standin.Fabric{Lag: fabricLag, Seed: d.Seed},
		platformServer: &registrystandin.Server{},
		flowServers:    make(map[fleet.ServerID]*standin.FlowServer),
		requestServers: make(map[fleet.ServerID]*standin.RequestServer),
		samples:        samples{drained: make(map[fleet.ServerID]bool)},
	}
	defer tb.ports.release()
	if d.duration() < MinDuration {
		return nil, errors.Errorf("duration %s is shorter than the minimum of %s", d.duration(), MinDuration)
	}
	var err error
	if tb.set, err = newConfigSet(&tb.ports); err != nil {
		return nil, err
	}
	for _, centre := range tb.set.DataCentres {
		tb.centres = append(tb.centres, centre.Name)
	}
	return tb, tb.addHosts()
}

func (tb *testbed) addHosts() error {
	address, err := tb.ports.allocateTCP()
	if err != nil {
		return err
	}
	tb.platformURL = "http://" + address.String()
	tb.platform = &registry.Client{URL: tb.platformURL}
	if tb.gatewayAddress, err = tb.ports.allocateUDP(); err != nil {
		return err
	}
	perCentre := orDefault(tb.demo.HostsPerDataCentre, DefaultHostsPerDataCentre)
	hosts, err := newSettings(tb.centres, perCentre, tb.platformURL, newPeerKey(), &tb.ports)
	if err != nil {
		return err
	}
	for _, s := range hosts {
		tb.hosts = append(tb.hosts, &managedHost{settings: s})
	}
	return nil
}

func newPeerKey() string {
	key := make([]byte, peerKeyBytes)
	_, _ = rand.Read(key)
	return hex.EncodeToString(key)
}

// start starts, in this order, the platform, the backend servers, the first
// configuration, the entry hosts and the callers.
func (tb *testbed) start(ctx context.Context) error {
	tb.startTime = time.Now().Truncate(time.Second)
	tb.observations.StoppedAddresses = make(map[string]bool)
	tb.observations.CentreOf = make(map[fleet.ServerID]fleet.DataCentreID)
	if err := tb.serveHTTP(ctx, "platform", tb.platformURL[len("http://"):], tb.platformServer); err != nil {
		return err
	}
	if err := tb.startServers(ctx); err != nil {
		return err
	}
	if err := tb.publish(ctx, "first configuration", tb.set); err != nil {
		return err
	}
	for _, host := range tb.hosts {
		tb.startHost(ctx, host)
	}
	tb.group.Go(func() { tb.checkHealth(ctx) })
	tb.group.Go(func() { tb.pollStatus(ctx) })
	if err := tb.awaitReady(ctx); err != nil {
		return err
	}
	return tb.startCallers(ctx)
}

// service returns a service of the example configuration.
func (tb *testbed) service(name fleet.ServiceName) config.Service {
	service, _ := tb.set.Service(name)
	return service
}

func (tb *testbed) startServers(ctx context.Context) error {
	for _, spec := range tb.set.Servers {
		tb.observations.CentreOf[spec.Name] = spec.DataCentre
		service, _ := tb.set.Service(spec.Service)
		var err error
		if service.Kind == config.KindFlow {
			err = tb.startFlowServer(ctx, spec, service)
		} else {
			err = tb.startRequestServer(ctx, spec, service)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (tb *testbed) startFlowServer(ctx context.Context, spec config.Server, service config.Service) error {
	server := &standin.FlowServer{
		Name:           spec.Name,
		Service:        spec.Service,
		Destination:    service.Address,
		MaxConnections: spec.MaxConnections,
		AnswerPort:     answerPort,
		Warmup:         standin.Warmup{ColdRate: spec.ColdRate, WarmupTime: spec.WarmupTime},
		Health:         standin.HealthEndpoint{Lag: healthLag},
	}
	tb.flowServers[spec.Name] = server
	socket, err := listenUDP(spec.Address)
	if err != nil {
		return errors.Wrapf(err, "listen for server %s", spec.Name)
	}
	tb.runInBackground(func() error { return server.Run(ctx, socket) })
	return tb.serveHTTP(ctx, string(spec.Name), spec.HealthAddress.String(), server.Health.Handler(server.Load))
}

func (tb *testbed) startRequestServer(ctx context.Context, spec config.Server, service config.Service) error {
	server := &standin.RequestServer{
		Name:        spec.Name,
		Host:        service.Host,
		Slots:       spec.Slots,
		ServiceTime: serviceTime,
		Warmup:      standin.Warmup{ColdRate: spec.ColdRate, WarmupTime: spec.WarmupTime},
		Health:      standin.HealthEndpoint{Lag: healthLag},
		Ledger:      &tb.samples.ledger,
	}
	tb.requestServers[spec.Name] = server
	if err := tb.serveHTTP(ctx, string(spec.Name), spec.Address.String(), server); err != nil {
		return err
	}
	return tb.serveHTTP(ctx, string(spec.Name), spec.HealthAddress.String(), server.Health.Handler(server.Load))
}

// serveHTTP serves handler at address until the context ends.
func (tb *testbed) serveHTTP(ctx context.Context, name, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrap(err, name)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	tb.runInBackground(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, name)
		}
		return nil
	})
	return nil
}

// runInBackground runs a component in a goroutine and records its error.
func (tb *testbed) runInBackground(run func() error) {
	tb.group.Go(func() { tb.recordError(run()) })
}

func (tb *testbed) recordError(err error) {
	if err == nil {
		return
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.errs = append(tb.errs, err)
}

// firstError returns the first recorded error, or fallback if there is none.
func (tb *testbed) firstError(fallback error) error {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if len(tb.errs) > 0 {
		return tb.errs[0]
	}
	return fallback
}

func (tb *testbed) wait() {
	tb.group.Wait()
	_ = tb.fabric.Close()
	for _, socket := range tb.callerSockets {
		_ = socket.Close()
	}
}

func (tb *testbed) addresses() Addresses {
	addresses := Addresses{
		Platform:     tb.platformURL,
		Gateway:      tb.gatewayAddress.String(),
		RequestHosts: []string{tb.service(serviceMaps).Host, tb.service(serviceScores).Host},
	}
	for _, host := range tb.hosts {
		addresses.Hosts = append(addresses.Hosts, HostAddresses{
			Host:    host.settings.Host,
			Request: host.settings.Listen.Request.String(),
			Admin:   host.settings.Listen.Admin.String(),
		})
	}
	return addresses
}

package trial

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

// answerPort is where callers take encapsulated answers.
const answerPort = 5555

const (
	fabricLag      = 500 * time.Millisecond
	healthLag      = time.Second // of the backend servers' health endpoints
	serviceTime    = 10 * time.Millisecond
	keyBytes       = 32
	readHeaderTime = 5 * time.Second
)

// world is everything that runs during a trial.
type world struct {
	trial  *Trial
	random *mathrand.Rand
	ports  ports
	began  time.Time

	centres        []fleet.DataCentreID
	set            config.Set
	platformServer *registrystandin.Server
	platform       *registry.Client
	platformURL    string
	fabric         *standin.Fabric
	gateway        *standin.Gateway
	gatewayAddress netip.AddrPort
	processes      []*process
	flowServers    map[fleet.ServerID]*standin.FlowServer
	requestServers map[fleet.ServerID]*standin.RequestServer
	flowCallers    []*standin.FlowCaller
	requestCallers []*standin.RequestCaller
	callerSockets  []*net.UDPConn

	group       sync.WaitGroup
	callers     sync.WaitGroup
	stopCalling context.CancelFunc

	mu       sync.Mutex
	errs     []error
	evidence Evidence
	samples  samples
	watch    Watch
}

func newWorld(t *Trial) (*world, error) {
	w := &world{
		trial:          t,
		random:         mathrand.New(mathrand.NewPCG(t.Seed, 3)),
		fabric:         &standin.Fabric{Lag: fabricLag, Seed: t.Seed},
		platformServer: &registrystandin.Server{},
		flowServers:    make(map[fleet.ServerID]*standin.FlowServer),
		requestServers: make(map[fleet.ServerID]*standin.RequestServer),
		samples:        samples{excluded: make(map[fleet.ServerID]bool)},
	}
	defer w.ports.release()
	if t.duration() < MinDuration {
		return nil, errors.Errorf("a duration of %s is too short: need %s", t.duration(), MinDuration)
	}
	var err error
	if w.set, err = newSet(&w.ports); err != nil {
		return nil, err
	}
	for _, centre := range w.set.DataCentres {
		w.centres = append(w.centres, centre.Name)
	}
	return w, w.addHosts()
}

func (w *world) addHosts() error {
	address, err := w.ports.tcp()
	if err != nil {
		return err
	}
	w.platformURL = "http://" + address.String()
	w.platform = &registry.Client{URL: w.platformURL}
	if w.gatewayAddress, err = w.ports.udp(); err != nil {
		return err
	}
	perCentre := orDefault(w.trial.HostsPerDataCentre, DefaultHostsPerDataCentre)
	all, err := newSettings(w.centres, perCentre, w.platformURL, newKey(), &w.ports)
	if err != nil {
		return err
	}
	for _, s := range all {
		w.processes = append(w.processes, &process{settings: s})
	}
	return nil
}

func newKey() string {
	key := make([]byte, keyBytes)
	_, _ = rand.Read(key)
	return hex.EncodeToString(key)
}

// start brings everything up: platform, servers, the first configuration,
// entry hosts, callers.
func (w *world) start(ctx context.Context) error {
	w.began = time.Now().Truncate(time.Second)
	w.evidence.StoppedRequest = make(map[string]bool)
	w.evidence.CentreOf = make(map[fleet.ServerID]fleet.DataCentreID)
	if err := w.serveHTTP(ctx, "platform", w.platformURL[len("http://"):], w.platformServer); err != nil {
		return err
	}
	if err := w.startServers(ctx); err != nil {
		return err
	}
	if err := w.publish(ctx, "first configuration", w.set); err != nil {
		return err
	}
	for _, p := range w.processes {
		w.startProcess(ctx, p)
	}
	w.group.Go(func() { w.checkHealth(ctx) })
	w.group.Go(func() { w.watchStatus(ctx) })
	if err := w.awaitReady(ctx); err != nil {
		return err
	}
	return w.startCallers(ctx)
}

// service returns a service of the example configuration.
func (w *world) service(name fleet.ServiceName) config.Service {
	service, _ := w.set.Service(name)
	return service
}

func (w *world) startServers(ctx context.Context) error {
	for _, s := range w.set.Servers {
		w.evidence.CentreOf[s.Name] = s.DataCentre
		service, _ := w.set.Service(s.Service)
		var err error
		if service.Kind == config.KindFlow {
			err = w.startFlowServer(ctx, s, service)
		} else {
			err = w.startRequestServer(ctx, s, service)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (w *world) startFlowServer(ctx context.Context, s config.Server, service config.Service) error {
	server := &standin.FlowServer{
		Name:           s.Name,
		Service:        s.Service,
		Destination:    service.Address,
		MaxConnections: s.MaxConnections,
		AnswerPort:     answerPort,
		Warmup:         standin.Warmup{ColdRate: s.ColdRate, WarmupTime: s.WarmupTime},
		Health:         standin.HealthEndpoint{Lag: healthLag},
	}
	w.flowServers[s.Name] = server
	socket, err := listenUDP(s.Address)
	if err != nil {
		return errors.Wrapf(err, "server %s", s.Name)
	}
	w.goRun(func() error { return server.Run(ctx, socket) })
	return w.serveHTTP(ctx, string(s.Name), s.HealthAddress.String(), server.Health.Handler(server.Load))
}

func (w *world) startRequestServer(ctx context.Context, s config.Server, service config.Service) error {
	server := &standin.RequestServer{
		Name:        s.Name,
		Host:        service.Host,
		Slots:       s.Slots,
		ServiceTime: serviceTime,
		Warmup:      standin.Warmup{ColdRate: s.ColdRate, WarmupTime: s.WarmupTime},
		Health:      standin.HealthEndpoint{Lag: healthLag},
		Ledger:      &w.samples.ledger,
	}
	w.requestServers[s.Name] = server
	if err := w.serveHTTP(ctx, string(s.Name), s.Address.String(), server); err != nil {
		return err
	}
	return w.serveHTTP(ctx, string(s.Name), s.HealthAddress.String(), server.Health.Handler(server.Load))
}

// serveHTTP serves handler at address until the context ends.
func (w *world) serveHTTP(ctx context.Context, name, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrap(err, name)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTime}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	w.goRun(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, name)
		}
		return nil
	})
	return nil
}

// goRun runs a part of the world and keeps its error.
func (w *world) goRun(run func() error) {
	w.group.Go(func() { w.fail(run()) })
}

func (w *world) fail(err error) {
	if err == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.errs = append(w.errs, err)
}

// firstError returns the first error of any part, else fallback.
func (w *world) firstError(fallback error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.errs) > 0 {
		return w.errs[0]
	}
	return fallback
}

func (w *world) wait() {
	w.group.Wait()
	_ = w.fabric.Close()
	for _, socket := range w.callerSockets {
		_ = socket.Close()
	}
}

func (w *world) addresses() Addresses {
	a := Addresses{
		Platform:     w.platformURL,
		Gateway:      w.gatewayAddress.String(),
		RequestHosts: []string{w.service(serviceMaps).Host, w.service(serviceScores).Host},
	}
	for _, p := range w.processes {
		a.Hosts = append(a.Hosts, HostAddresses{
			Host:    p.settings.Host,
			Request: p.settings.Listen.Request.String(),
			Admin:   p.settings.Listen.Admin.String(),
		})
	}
	return a
}

package host

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/control"
	"github.com/rattanthread/rattanthread/fleet"
)

const (
	probeInterval       = time.Second
	probeTimeout        = 800 * time.Millisecond
	maxConcurrentProbes = 16
	maxReportBytes      = 16 << 10
	healthPath          = "/health"
)

// prober probes the backend servers for which this host is the allocator.
type prober struct {
	host       *Host
	components *hostComponents
	client     http.Client
}

// healthReport is the JSON response to a health probe. Unknown fields are ignored.
type healthReport struct {
	Ready bool `json:"ready"`
	// Instance changes when the server process restarts. It may be empty.
	Instance string `json:"instance"`
	InFlight int    `json:"in_flight"`
}

func (p *prober) serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if s := p.components.loop.snapshot(); s != nil && s.Configured {
			p.probeAll(ctx, s.ServersToProbe, healthAddresses(s))
		}
		sleep(ctx, probeInterval)
	}
	return nil
}

func (p *prober) probeAll(ctx context.Context, servers []fleet.ServerID, addresses map[fleet.ServerID]netip.AddrPort) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentProbes)
	for _, id := range servers {
		if address := addresses[id]; address.IsValid() {
			group.Go(func() error {
				p.probe(ctx, id, address)
				return nil
			})
		}
	}
	_ = group.Wait()
}

// probe reports the result of one health probe to the control loop. A server that
// does not respond is unhealthy; its report has no instance.
func (p *prober) probe(ctx context.Context, id fleet.ServerID, address netip.AddrPort) {
	report, err := p.get(ctx, address)
	result := "ok"
	if err != nil {
		result = "failed"
	}
	p.components.counters.probes.WithLabelValues(result).Inc()
	if ctx.Err() != nil {
		return
	}
	p.components.requests.reportLoad(id, report.InFlight, p.host.Now())
	p.components.loop.observe(backend.Evidence{
		Server:   id,
		Kind:     backend.EvidenceReport,
		Healthy:  err == nil && report.Ready,
		Instance: report.Instance,
		At:       p.host.Now(),
	})
}

func (p *prober) get(ctx context.Context, address netip.AddrPort) (healthReport, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var report healthReport
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+healthPath, nil)
	if err != nil {
		return report, err
	}
	response, err := p.client.Do(request)
	if err != nil {
		return report, err
	}
	defer func() { _ = response.Body.Close() }()
	err = json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report)
	return report, err
}

func healthAddresses(snapshot *control.Snapshot) map[fleet.ServerID]netip.AddrPort {
	addresses := make(map[fleet.ServerID]netip.AddrPort, len(snapshot.Published.Set.Servers))
	for _, server := range snapshot.Published.Set.Servers {
		addresses[server.Name] = server.HealthAddress
	}
	return addresses
}

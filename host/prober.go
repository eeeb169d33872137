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
	probeInterval  = time.Second
	probeTimeout   = 800 * time.Millisecond
	probesAtOnce   = 16
	maxReportBytes = 16 << 10
	healthPath     = "/health"
)

// prober reads the health of the backend servers that this host keeps.
type prober struct {
	host   *Host
	parts  *parts
	client http.Client
}

// healthReport is what a backend server's health address answers, as JSON.
// Unknown fields are ignored.
type healthReport struct {
	Ready bool `json:"ready"`
	// Instance changes when the server process starts anew. It may be empty.
	Instance string `json:"instance"`
	InFlight int    `json:"in_flight"`
}

func (p *prober) serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if s := p.parts.loop.snapshot(); s != nil && s.Configured {
			p.probeAll(ctx, s.ServersToProbe, healthAddresses(s))
		}
		wait(ctx, probeInterval)
	}
	return nil
}

func (p *prober) probeAll(ctx context.Context, keeps []fleet.ServerID, addresses map[fleet.ServerID]netip.AddrPort) {
	var group errgroup.Group
	group.SetLimit(probesAtOnce)
	for _, id := range keeps {
		if address := addresses[id]; address.IsValid() {
			group.Go(func() error {
				p.probe(ctx, id, address)
				return nil
			})
		}
	}
	_ = group.Wait()
}

// probe gives the control state one report. A server that does not answer is
// unhealthy; its report names no instance.
func (p *prober) probe(ctx context.Context, id fleet.ServerID, address netip.AddrPort) {
	report, err := p.get(ctx, address)
	result := "ok"
	if err != nil {
		result = "failed"
	}
	p.parts.counters.probes.WithLabelValues(result).Inc()
	if ctx.Err() != nil {
		return
	}
	p.parts.requests.report(id, report.InFlight, p.host.Now())
	p.parts.loop.observe(backend.Evidence{
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

func healthAddresses(s *control.Snapshot) map[fleet.ServerID]netip.AddrPort {
	addresses := make(map[fleet.ServerID]netip.AddrPort, len(s.Revised.Set.Servers))
	for _, server := range s.Revised.Set.Servers {
		addresses[server.Name] = server.HealthAddress
	}
	return addresses
}

package load

import (
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
)

// fraction is the unit of ratios and limits in reports: 1/16.
const fraction = 16

// Bounds of the numbers in a report. They exceed what an installation of the target size (490
// hosts, 3,400 servers, 24,000 new flows a second) can reach; larger ones are errors.
const (
	maxReportedServers = 1 << 14
	maxReportedDemands = 1 << 12
	maxReportedCount   = 1 << 20 // requests or samples of a server
	maxReportedLimit   = 1 << 16 // requests
	maxReportedRate    = 1 << 20 // opening packets a second
	maxReportedAge     = time.Minute
	// MaxPriority is the lowest priority that a report may hold.
	MaxPriority = 255
)

// peerState is the last report of a peer.
type peerState struct {
	received time.Time
	// servers are the servers that have an entry of the report.
	servers []*serverState
	demand  []ServiceDemand
}

// clear removes the entries of the report.
func (p *peerState) clear() {
	for _, s := range p.servers {
		s.removePeer(p)
	}
	p.servers = p.servers[:0]
}

// peerLoad is the load of a server in the last report of a peer.
type peerLoad struct {
	peer     *peerState
	inFlight int
	sums     observations
	limit    float64
	// observed is the time of the latest observation, in nanoseconds since the epoch. Loops over
	// the entries of all peers are several times slower with time.Time.
	observed int64
}

func newPeerLoad(now time.Time, peer *peerState, load *ServerLoad) peerLoad {
	samples := float64(load.Samples)
	return peerLoad{
		peer: peer, inFlight: int(load.InFlight), limit: float64(load.Limit) / fraction,
		sums: observations{
			samples: samples, ratios: samples * float64(load.Slowdown) / fraction, refusals: float64(load.Refusals),
		},
		observed: now.Add(-load.Age).UnixNano(),
	}
}

// isRecent reports whether the latest observation lies in the window that begins at a time.
func (p *peerLoad) isRecent(begin int64) bool { return p.observed >= begin }

// ReportFor returns the sums of what this host has observed and what its peers have reported,
// without that of the peer which the report is for. In a tree of hosts, sums of reports count
// each host once.
func (t *Tracker) ReportFor(now time.Time, peer fleet.HostID) Report {
	t.update(now)
	excluded := t.peers[peer]
	var report Report
	for _, s := range t.active {
		if load, ok := s.report(now, excluded); ok {
			report.Servers = append(report.Servers, load)
		}
	}
	report.Demand = t.sumDemand(now, "", excluded)
	report.Elsewhere = t.elsewhereFor(now, peer)
	return report
}

// report returns the sums of a server without those of a peer, and whether there are any.
func (s *serverState) report(now time.Time, excluded *peerState) (ServerLoad, bool) {
	sum, latest := s.own(now)
	inFlight, age := len(s.requests), now.Sub(latest)
	weight, limit := 0.0, 0.0
	if s.known {
		weight = 1 + sum.samples
		limit = weight * s.limit
	}
	begin := now.Add(-window).UnixNano()
	for i := range s.peers {
		p := &s.peers[i]
		if p.peer == excluded {
			continue
		}
		inFlight += p.inFlight
		if p.isRecent(begin) {
			sum.add(p.sums)
		}
		if p.limit > 0 {
			weight += p.sums.samples
			limit += p.sums.samples * p.limit
		}
		age = min(age, time.Duration(now.UnixNano()-p.observed))
	}
	if inFlight == 0 && sum.samples == 0 && sum.refusals == 0 {
		return ServerLoad{}, false
	}
	load := ServerLoad{
		Server: s.cookie, InFlight: uint32(min(inFlight, maxReportedCount)),
		Samples: uint32(math.Min(sum.samples, maxReportedCount)), Refusals: uint32(math.Min(sum.refusals, maxReportedCount)),
		Age: min(max(0, age), maxReportedAge),
	}
	if sum.samples > 0 {
		load.Slowdown = max(1, uint32(math.Round(fraction*sum.ratios/sum.samples)))
	}
	if weight > 0 {
		load.Limit = uint32(math.Round(fraction * limit / weight))
	}
	return load, true
}

// Receive replaces the previous report of a peer. It rejects a report with numbers out of range.
func (t *Tracker) Receive(now time.Time, peer fleet.HostID, report Report) error {
	if err := report.Check(); err != nil {
		return err
	}
	t.update(now)
	p := t.peers[peer]
	if p == nil {
		if t.peers == nil {
			t.peers = make(map[fleet.HostID]*peerState)
		}
		p = &peerState{}
		t.peers[peer] = p
	}
	p.clear()
	p.received = now
	p.demand = append(p.demand[:0], report.Demand...)
	for _, load := range report.Servers {
		if at, ok := t.forgotten[load.Server]; ok && !now.Add(-load.Age).After(at) {
			continue
		}
		s := t.stateOf(load.Server)
		s.peers = append(s.peers, newPeerLoad(now, p, &load))
		s.reported += int(load.InFlight)
		p.servers = append(p.servers, s)
	}
	for _, entry := range report.Elsewhere {
		t.putElsewhere(now, peer, entry)
	}
	return nil
}

// removePeer removes the entry of a peer.
func (s *serverState) removePeer(peer *peerState) {
	for i := range s.peers {
		if s.peers[i].peer == peer {
			s.reported -= s.peers[i].inFlight
			s.peers = slices.Delete(s.peers, i, i+1)
			return
		}
	}
}

// Disconnect discards the report of a peer.
func (t *Tracker) Disconnect(peer fleet.HostID) {
	if p := t.peers[peer]; p != nil {
		p.clear()
		delete(t.peers, peer)
	}
}

// expireReports discards the reports that have not been renewed for ReportExpiry.
func (t *Tracker) expireReports(now time.Time) {
	t.nextExpiry = now.Add(ReportExpiry)
	for id, p := range t.peers {
		expiry := p.received.Add(ReportExpiry)
		switch {
		case now.After(expiry):
			t.Disconnect(id)
		case expiry.Before(t.nextExpiry):
			t.nextExpiry = expiry
		}
	}
}

// Check returns an error if a number is out of range or an entry is repeated.
func (r *Report) Check() error {
	if len(r.Servers) > maxReportedServers || len(r.Demand) > maxReportedDemands {
		return errors.Errorf("report of %d servers and %d demands is too long", len(r.Servers), len(r.Demand))
	}
	seen := make(map[catalogue.Cookie]bool, len(r.Servers))
	for _, load := range r.Servers {
		if !load.inRange() || seen[load.Server] {
			return errors.Errorf("load of server %08x is out of range or repeated", uint32(load.Server))
		}
		seen[load.Server] = true
	}
	demands := make(map[demandKey]bool, len(r.Demand))
	for _, demand := range r.Demand {
		key := demandKey{demand.Service, demand.Priority}
		if demands[key] {
			return errors.Errorf("demand for service %q at priority %d is repeated", demand.Service, demand.Priority)
		}
		demands[key] = true
		if demand.Service == "" || demand.Priority < 0 || demand.Priority > MaxPriority || demand.PerSecond > maxReportedRate {
			return errors.Errorf("demand for service %q is out of range", demand.Service)
		}
	}
	return r.CheckElsewhere()
}

// inRange reports whether all numbers are possible.
func (l *ServerLoad) inRange() bool {
	return l.Server != 0 && l.InFlight <= maxReportedCount && l.Samples <= maxReportedCount && l.Refusals <= maxReportedCount &&
		(l.Samples == 0 || l.Slowdown > 0) && l.Slowdown <= maxRatio*fraction &&
		(l.Limit == 0 || l.Limit >= fraction) && l.Limit <= maxReportedLimit*fraction &&
		l.Age >= 0 && l.Age <= maxReportedAge
}

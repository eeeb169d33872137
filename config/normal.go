package config

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// The values that stand for a field which a declaration leaves out.
const (
	DefaultIdleTimeout    = 5 * time.Minute
	DefaultSilentTimeout  = 30 * time.Second
	DefaultRequestTimeout = 30 * time.Second
	DefaultMaxBodyBytes   = int64(1 << 20)
	DefaultRetryRatio     = 0.1
	DefaultMaxInFlight    = 1024
	DefaultKeyLifetime    = 10 * time.Minute
	DefaultWeight         = fleet.Weight(100)
	DefaultSlots          = 2
	DefaultMaxConnections = 2000
	DefaultColdRate       = 5.0
	DefaultWarmupTime     = 30 * time.Second
	DefaultRegion         = fleet.RegionID("default")
	DefaultProtocol       = "tcp"
)

// Normalised returns a copy of the set with every default filled in and every
// slice sorted by name. Only normalised sets are published, so that hosts with
// other defaults still agree on what is in force.
func (s Set) Normalised() Set {
	n := s.clone()
	for i := range n.DataCentres {
		n.DataCentres[i].normalise()
	}
	for i := range n.Services {
		n.Services[i].normalise()
	}
	kinds := serviceKinds(n.Services)
	for i := range n.Servers {
		n.Servers[i].normalise(kinds[n.Servers[i].Service])
	}
	n.sort()
	n.clearEmpty()
	return n
}

// clearEmpty makes empty slices nil, so that a set equals what is decoded from
// its encoding.
func (s *Set) clearEmpty() {
	s.DataCentres = nilIfEmpty(s.DataCentres)
	s.Services = nilIfEmpty(s.Services)
	s.Servers = nilIfEmpty(s.Servers)
	s.Rules = nilIfEmpty(s.Rules)
	for i := range s.Rules {
		s.Rules[i].Centres = nilIfEmpty(s.Rules[i].Centres)
	}
}

func nilIfEmpty[T any](values []T) []T {
	if len(values) == 0 {
		return nil
	}
	return values
}

func (s Set) clone() Set {
	c := Set{
		DataCentres: slices.Clone(s.DataCentres),
		Services:    slices.Clone(s.Services),
		Servers:     slices.Clone(s.Servers),
		Rules:       slices.Clone(s.Rules),
	}
	for i := range c.Rules {
		c.Rules[i].Centres = slices.Clone(c.Rules[i].Centres)
	}
	return c
}

func (s Set) sort() {
	slices.SortStableFunc(s.DataCentres, func(a, b DataCentre) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(s.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(s.Servers, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(s.Rules, func(a, b Rule) int { return cmp.Compare(a.Name, b.Name) })
	for _, rule := range s.Rules {
		slices.Sort(rule.Centres)
	}
}

func (d *DataCentre) normalise() {
	d.Region = cmp.Or(d.Region, DefaultRegion)
	d.State = cmp.Or(d.State, StateIn)
	d.Since, d.Previous, d.Earlier = d.Since.UTC(), d.Previous.UTC(), d.Earlier.UTC()
}

func (s *Service) normalise() {
	s.Kind = cmp.Or(s.Kind, KindFlow)
	switch s.Kind {
	case KindFlow:
		s.Protocol = cmp.Or(s.Protocol, DefaultProtocol)
		s.Flow.IdleTimeout = cmp.Or(s.Flow.IdleTimeout, DefaultIdleTimeout)
		s.Flow.SilentTimeout = cmp.Or(s.Flow.SilentTimeout, min(DefaultSilentTimeout, s.Flow.IdleTimeout))
	case KindRequest:
		s.Request.normalise()
	}
}

func (r *RequestLimits) normalise() {
	r.Timeout = cmp.Or(r.Timeout, DefaultRequestTimeout)
	r.MaxBodyBytes = cmp.Or(r.MaxBodyBytes, DefaultMaxBodyBytes)
	r.RetryRatio = cmp.Or(r.RetryRatio, DefaultRetryRatio)
	r.MaxInFlight = cmp.Or(r.MaxInFlight, DefaultMaxInFlight)
	r.KeyLifetime = cmp.Or(r.KeyLifetime, max(DefaultKeyLifetime, r.Timeout))
}

func (s *Server) normalise(kind ServiceKind) {
	if s.HealthAddress == (netip.AddrPort{}) && kind == KindRequest {
		s.HealthAddress = s.Address
	}
	s.Weight = cmp.Or(s.Weight, DefaultWeight)
	s.Slots = cmp.Or(s.Slots, DefaultSlots)
	s.MaxConnections = cmp.Or(s.MaxConnections, DefaultMaxConnections)
	s.ColdRate = cmp.Or(s.ColdRate, DefaultColdRate)
	s.WarmupTime = cmp.Or(s.WarmupTime, DefaultWarmupTime)
}

func serviceKinds(services []Service) map[fleet.ServiceName]ServiceKind {
	kinds := make(map[fleet.ServiceName]ServiceKind, len(services))
	for _, service := range services {
		kinds[service.Name] = service.Kind
	}
	return kinds
}

// Stamped returns a copy of the set whose data centres carry the times of their
// last three changes of state: now and the last two of base, or those that base
// has for the same state. The data centres of a first set have never changed.
func (s Set) Stamped(base Set, now time.Time) Set {
	stamped := s.clone()
	first := len(base.DataCentres) == 0
	for i := range stamped.DataCentres {
		centre := &stamped.DataCentres[i]
		before, known := base.DataCentre(centre.Name)
		switch {
		case first:
			centre.Since, centre.Previous, centre.Earlier = time.Time{}, time.Time{}, time.Time{}
		case known && before.State == centre.State:
			centre.Since, centre.Previous, centre.Earlier = before.Since, before.Previous, before.Earlier
		default:
			centre.Since, centre.Previous, centre.Earlier = now.UTC(), before.Since, before.Previous
		}
	}
	return stamped
}

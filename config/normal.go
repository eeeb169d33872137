package config

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Defaults of the fields that a declaration omits.
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
// slice sorted by name. Only normalised sets are published, so that hosts whose
// built-in defaults differ still use the same values.
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

// clearEmpty replaces empty slices by nil, so that a set survives encoding and
// decoding unchanged.
func (s *Set) clearEmpty() {
	s.DataCentres = nilIfEmpty(s.DataCentres)
	s.Services = nilIfEmpty(s.Services)
	s.Servers = nilIfEmpty(s.Servers)
	s.Rules = nilIfEmpty(s.Rules)
	for i := range s.Rules {
		s.Rules[i].DataCentres = nilIfEmpty(s.Rules[i].DataCentres)
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
		c.Rules[i].DataCentres = slices.Clone(c.Rules[i].DataCentres)
	}
	return c
}

func (s Set) sort() {
	slices.SortStableFunc(s.DataCentres, func(a, b DataCentre) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(s.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(s.Servers, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(s.Rules, func(a, b Rule) int { return cmp.Compare(a.Name, b.Name) })
	for _, rule := range s.Rules {
		slices.Sort(rule.DataCentres)
	}
}

func (d *DataCentre) normalise() {
	d.Region = cmp.Or(d.Region, DefaultRegion)
	d.State = cmp.Or(d.State, StateIn)
	d.Since, d.PreviousChange, d.EarlierChange = d.Since.UTC(), d.PreviousChange.UTC(), d.EarlierChange.UTC()
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

// WithStateTimes returns a copy of the set with the times of the last three state
// changes of each data centre. They are taken from base if the state is the same
// there; otherwise the latest is now and the other two are the last two of base.
// If base has no data centres, all times are zero.
func (s Set) WithStateTimes(base Set, now time.Time) Set {
	stamped := s.clone()
	initial := len(base.DataCentres) == 0
	for i := range stamped.DataCentres {
		centre := &stamped.DataCentres[i]
		before, ok := base.DataCentre(centre.Name)
		switch {
		case initial:
			centre.Since, centre.PreviousChange, centre.EarlierChange = time.Time{}, time.Time{}, time.Time{}
		case ok && before.State == centre.State:
			centre.Since, centre.PreviousChange, centre.EarlierChange = before.Since, before.PreviousChange, before.EarlierChange
		default:
			centre.Since, centre.PreviousChange, centre.EarlierChange = now.UTC(), before.Since, before.PreviousChange
		}
	}
	return stamped
}

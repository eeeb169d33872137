package config

import (
	"slices"

	"github.com/rattanthread/rattanthread/fleet"
)

// DataCentre returns the data centre with the given name.
func (s Set) DataCentre(name fleet.DataCentreID) (DataCentre, bool) {
	return find(s.DataCentres, func(d DataCentre) bool { return d.Name == name })
}

// Service returns the service with the given name.
func (s Set) Service(name fleet.ServiceName) (Service, bool) {
	return find(s.Services, func(v Service) bool { return v.Name == name })
}

// Server returns the backend server with the given name.
func (s Set) Server(name fleet.ServerID) (Server, bool) {
	return find(s.Servers, func(v Server) bool { return v.Name == name })
}

// ServersOf returns the backend servers of a service, in the order of the set.
func (s Set) ServersOf(service fleet.ServiceName) []Server {
	var servers []Server
	for _, server := range s.Servers {
		if server.Service == service {
			servers = append(servers, server)
		}
	}
	return servers
}

// Allows reports whether the rules allow the service to run in the data centre.
// It ignores the state of the data centre.
func (s Set) Allows(service fleet.ServiceName, centre fleet.DataCentreID) bool {
	for _, rule := range s.Rules {
		if rule.Service == service && !rule.allows(centre) {
			return false
		}
	}
	return true
}

// MaxShare returns the maximum fraction of the service's new work that the data
// centre may receive, from 0 to 1.
func (s Set) MaxShare(service fleet.ServiceName, centre fleet.DataCentreID) float64 {
	share := 1.0
	for _, rule := range s.Rules {
		if rule.Service == service && rule.Kind == RuleMaxShare && slices.Contains(rule.DataCentres, centre) {
			share = min(share, rule.MaxShare)
		}
	}
	return share
}

func (r Rule) allows(centre fleet.DataCentreID) bool {
	switch r.Kind {
	case RuleOnly:
		return slices.Contains(r.DataCentres, centre)
	case RuleExclude:
		return !slices.Contains(r.DataCentres, centre)
	default:
		return true
	}
}

func find[T any](values []T, match func(T) bool) (T, bool) {
	if i := slices.IndexFunc(values, match); i >= 0 {
		return values[i], true
	}
	var zero T
	return zero, false
}

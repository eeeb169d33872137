package config

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/rattanthread/rattanthread/fleet"
)

// checkAddresses reports objects that use the same address or host name.
func (c *checker) checkAddresses() {
	claims := addressClaims{c: c, byAddress: map[string]declaredObject{}}
	for _, service := range c.set.Services {
		switch service.Kind {
		case KindFlow:
			claims.add(service, "address", service.Protocol, service.Address)
		case KindRequest:
			claims.addName(service, "host", "host "+service.Host, service.Host != "")
		}
	}
	c.checkListeners(claims)
	for _, server := range c.set.Servers {
		c.claimServerAddresses(claims, server)
	}
}

// checkListeners claims the addresses of request services. Several of them may
// share an address because the host name distinguishes them.
func (c *checker) checkListeners(claims addressClaims) {
	claimed := map[netip.AddrPort]bool{}
	for _, service := range c.set.Services {
		if service.Kind == KindRequest && !claimed[service.Address] {
			claimed[service.Address] = true
			claims.add(service, "address", DefaultProtocol, service.Address)
		}
	}
}

// claimServerAddresses claims a server's addresses. A flow server receives
// encapsulated packets over UDP; a request server and every health endpoint
// listen on TCP.
func (c *checker) claimServerAddresses(claims addressClaims, server Server) {
	protocol := "udp"
	if c.services[server.Service].Kind == KindRequest {
		protocol = "tcp"
	}
	claims.add(server, "address", protocol, server.Address)
	if protocol == "udp" || server.HealthAddress != server.Address {
		claims.add(server, "health_address", "tcp", server.HealthAddress)
	}
}

// addressClaims records the first object that uses each address.
type addressClaims struct {
	c         *checker
	byAddress map[string]declaredObject
}

func (a addressClaims) add(object declaredObject, key, protocol string, address netip.AddrPort) {
	a.addName(object, key, fmt.Sprintf("%s %s", protocol, address), address != (netip.AddrPort{}))
}

func (a addressClaims) addName(object declaredObject, key, claim string, set bool) {
	if !set {
		return
	}
	if first, ok := a.byAddress[claim]; ok {
		a.c.reportf(object, key, "%s is already used by %s", claim, location(first))
		return
	}
	a.byAddress[claim] = object
}

// checkConflicts reports rules of the same service that contradict each other.
func (c *checker) checkConflicts() {
	earlier := map[fleet.ServiceName][]Rule{}
	for _, rule := range c.set.Rules {
		for _, other := range earlier[rule.Service] {
			c.checkRulePair(rule, other)
		}
		earlier[rule.Service] = append(earlier[rule.Service], rule)
	}
}

func (c *checker) checkRulePair(rule, other Rule) {
	common := intersection(rule.DataCentres, other.DataCentres)
	switch {
	case rule.Kind == RuleOnly && other.Kind == RuleOnly:
		if !slices.Equal(rule.DataCentres, other.DataCentres) {
			c.reportf(rule, "data_centres", "conflicts with %s: both have kind %q but list different data centres", location(other), RuleOnly)
		}
	case rule.Kind == RuleMaxShare && other.Kind == RuleMaxShare:
		if len(common) > 0 && rule.MaxShare != other.MaxShare {
			c.reportf(rule, "max_share", "conflicts with %s: different shares for %s", location(other), joinNames(common))
		}
	case rule.Kind != other.Kind && len(common) > 0 && (rule.Kind == RuleExclude || other.Kind == RuleExclude):
		c.reportf(rule, "data_centres", "conflicts with %s for %s: one rule has kind %q, the other %q",
			location(other), joinNames(common), rule.Kind, other.Kind)
	}
}

// checkCapacity reports services that no backend server can serve and those whose
// maximum shares add up to less than 1.
func (c *checker) checkCapacity() {
	all := c.centresByService(func(Server) bool { return true })
	available := c.centresByService(c.acceptsNewWork)
	for _, service := range c.set.Services {
		if len(available[service.Name]) == 0 {
			c.reportf(service, "", "no backend server can serve it: at least one must be allowed by the rules, not draining, and in a data centre that is in service")
			continue
		}
		// Data centres that are out of service count here, so that operators can
		// still take one out of service.
		centres := all[service.Name]
		if total := c.totalShare(service.Name, centres); total < 1-shareTolerance {
			c.reportf(service, "", "the rules limit data centres %s to a total of %.2f of its work", joinNames(centres), total)
		}
	}
}

// shareTolerance allows for rounding errors in sums of decimal shares such as 0.1.
const shareTolerance = 1e-9

func (c *checker) totalShare(service fleet.ServiceName, centres []fleet.DataCentreID) float64 {
	total := 0.0
	for _, centre := range centres {
		total += c.set.MaxShare(service, centre)
	}
	return total
}

// acceptsNewWork reports whether the server is not draining and its data centre
// is in service.
func (c *checker) acceptsNewWork(server Server) bool {
	return !server.Drain && c.centres[server.DataCentre].State == StateIn
}

// centresByService returns, for each service, the data centres that its rules
// allow and that hold at least one matching backend server.
func (c *checker) centresByService(match func(Server) bool) map[fleet.ServiceName][]fleet.DataCentreID {
	rules := map[fleet.ServiceName][]Rule{}
	for _, rule := range c.set.Rules {
		rules[rule.Service] = append(rules[rule.Service], rule)
	}
	centres := map[fleet.ServiceName][]fleet.DataCentreID{}
	for _, server := range c.set.Servers {
		found := centres[server.Service]
		allowed := !slices.ContainsFunc(rules[server.Service], func(r Rule) bool { return !r.allows(server.DataCentre) })
		if allowed && match(server) && !slices.Contains(found, server.DataCentre) {
			centres[server.Service] = append(found, server.DataCentre)
		}
	}
	return centres
}

func intersection[T comparable](a, b []T) []T {
	var common []T
	for _, value := range a {
		if slices.Contains(b, value) && !slices.Contains(common, value) {
			common = append(common, value)
		}
	}
	return common
}

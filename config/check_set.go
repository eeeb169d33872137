package config

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/rattanthread/rattanthread/fleet"
)

// checkAddresses finds two objects that claim one address.
func (c *checker) checkAddresses() {
	claims := claimed{c: c, byAddress: map[string]declared{}}
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
		c.claimServer(claims, server)
	}
}

// checkListeners claims the addresses of request services, which several of
// them may share because the host name tells them apart.
func (c *checker) checkListeners(claims claimed) {
	shared := map[netip.AddrPort]bool{}
	for _, service := range c.set.Services {
		if service.Kind == KindRequest && !shared[service.Address] {
			shared[service.Address] = true
			claims.add(service, "address", DefaultProtocol, service.Address)
		}
	}
}

// claimServer claims a server's addresses. A flow server unwraps UDP packets;
// a request server and every health endpoint listen on TCP.
func (c *checker) claimServer(claims claimed, server Server) {
	protocol := "udp"
	if c.services[server.Service].Kind == KindRequest {
		protocol = "tcp"
	}
	claims.add(server, "address", protocol, server.Address)
	if protocol == "udp" || server.HealthAddress != server.Address {
		claims.add(server, "health_address", "tcp", server.HealthAddress)
	}
}

// claimed remembers which object claimed an address first.
type claimed struct {
	c         *checker
	byAddress map[string]declared
}

func (m claimed) add(object declared, key, protocol string, address netip.AddrPort) {
	m.addName(object, key, fmt.Sprintf("%s %s", protocol, address), address != (netip.AddrPort{}))
}

func (m claimed) addName(object declared, key, claim string, set bool) {
	if !set {
		return
	}
	if first, ok := m.byAddress[claim]; ok {
		m.c.fail(object, key, "%s is already used by %s", claim, place(first))
		return
	}
	m.byAddress[claim] = object
}

// checkConflicts finds rules of one service that contradict each other.
func (c *checker) checkConflicts() {
	earlier := map[fleet.ServiceName][]Rule{}
	for _, rule := range c.set.Rules {
		for _, other := range earlier[rule.Service] {
			c.checkPair(rule, other)
		}
		earlier[rule.Service] = append(earlier[rule.Service], rule)
	}
}

func (c *checker) checkPair(rule, other Rule) {
	common := intersection(rule.Centres, other.Centres)
	switch {
	case rule.Kind == RuleOnly && other.Kind == RuleOnly:
		if !slices.Equal(rule.Centres, other.Centres) {
			c.fail(rule, "data_centres", "conflicts with %s: both say %q, of different data centres", place(other), RuleOnly)
		}
	case rule.Kind == RuleMaxShare && other.Kind == RuleMaxShare:
		if len(common) > 0 && rule.MaxShare != other.MaxShare {
			c.fail(rule, "max_share", "conflicts with %s: another share for %s", place(other), list(common))
		}
	case rule.Kind != other.Kind && len(common) > 0 && (rule.Kind == RuleExclude || other.Kind == RuleExclude):
		c.fail(rule, "data_centres", "conflicts with %s about %s: one rule is %q, the other %q",
			place(other), list(common), rule.Kind, other.Kind)
	}
}

// checkCapacity finds services that nothing could serve.
func (c *checker) checkCapacity() {
	all := c.centresByService(func(Server) bool { return true })
	able := c.centresByService(c.isAble)
	for _, service := range c.set.Services {
		if len(able[service.Name]) == 0 {
			c.fail(service, "", "no backend server can serve it: none that is not draining, in a data centre that is in and that the rules allow")
			continue
		}
		// Data centres that are out count here: taking one out must stay possible.
		centres := all[service.Name]
		if total := c.shareOf(service.Name, centres); total < 1-shareTolerance {
			c.fail(service, "", "the rules let its data centres %s together take only %.2f of its work", list(centres), total)
		}
	}
}

// shareTolerance absorbs the rounding of decimal shares such as 0.1.
const shareTolerance = 1e-9

func (c *checker) shareOf(service fleet.ServiceName, centres []fleet.DataCentreID) float64 {
	total := 0.0
	for _, centre := range centres {
		total += c.set.MaxShare(service, centre)
	}
	return total
}

// isAble reports whether the server takes new work.
func (c *checker) isAble(server Server) bool {
	return !server.Drain && c.centres[server.DataCentre].State == StateIn
}

// centresByService returns, by service, the data centres that the rules allow
// and in which a backend server matches.
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

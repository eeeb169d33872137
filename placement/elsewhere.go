package placement

import (
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/load"
)

const (
	// freeUtilisation is the assumed utilisation of servers in a data centre where their service is
	// known not to be short. The real one is between 0 and spilloverLow.
	freeUtilisation = 0.5
	// capacityHigh and capacityLow are the bounds of CapacityElsewhere: there is free capacity from a
	// utilisation under capacityLow on until it reaches capacityHigh.
	capacityHigh = spilloverHigh
	capacityLow  = spilloverLow
)

// serviceElsewhere is what is held of a service for CapacityElsewhere.
type serviceElsewhere struct {
	// pool is the one of the latest choice.
	pool *catalogue.Pool
	// free holds the data centres that had free capacity.
	free map[fleet.DataCentreID]bool
}

// dataCentreLoadElsewhere returns the load of servers in another data centre by what that
// has reported. What this data centre has observed there is a part of its load only, so that it counts
// for nothing but the speed.
//
// A data centre that has reported nothing is tried only if some of its servers have responded
// recently, to flows that went there for another reason. Without any response it is more likely cut off
// than free, and each flow of a trial would wait for a timeout.
func (c *Chooser) dataCentreLoadElsewhere(now time.Time, dataCentre fleet.DataCentreID, servers []*catalogue.Server, reported []load.DataCentreUtilisation) DataCentreLoad {
	sum := c.dataCentreLoad(now, dataCentre, servers)
	if c.Elsewhere == nil {
		return sum
	}
	observed := sum.Known
	sum.Known, sum.InFlight, sum.Limit = 0, 0, 0
	utilisation, known := reportedBy(reported, dataCentre)
	if !known {
		if observed == 0 {
			sum.Servers = 0
		}
		return sum
	}
	if observed == 0 {
		sum.Speed = 1
	}
	sum.Known = sum.Servers
	sum.InFlight, sum.Limit = utilisation.InFlight, utilisation.Limit
	if utilisation.Free || sum.Limit == 0 {
		for _, server := range servers {
			if c.acceptsFlows(now, server) {
				sum.Limit += load.InitialLimit(server)
			}
		}
		sum.InFlight = sum.Limit
		if utilisation.Free {
			sum.InFlight = freeUtilisation * sum.Limit
		}
	}
	return sum
}

// acceptsFlows reports whether a server has capacity for flows that spill over: a cold one and one that
// does not respond have none.
func (c *Chooser) acceptsFlows(now time.Time, server *catalogue.Server) bool {
	return !server.IsCold(now) && !c.Reachability.Unreachable(server.Cookie) && !c.Suspects.Suspected(now, server.Cookie)
}

func reportedBy(reported []load.DataCentreUtilisation, dataCentre fleet.DataCentreID) (load.DataCentreUtilisation, bool) {
	i := slices.IndexFunc(reported, func(u load.DataCentreUtilisation) bool { return u.DataCentre == dataCentre })
	if i < 0 || !reported[i].Known {
		return load.DataCentreUtilisation{}, false
	}
	return reported[i], true
}

// reportedElsewhere returns what other data centres have reported about a service.
func (c *Chooser) reportedElsewhere(now time.Time, service fleet.ServiceName) []load.DataCentreUtilisation {
	if c.Elsewhere == nil {
		return nil
	}
	return c.Elsewhere(now, service)
}

// RememberPool keeps the pool of a service for CapacityElsewhere, as Choose does.
func (c *Chooser) RememberPool(service fleet.ServiceName, pool *catalogue.Pool) {
	if c.Elsewhere == nil {
		return
	}
	if c.elsewhere == nil {
		c.elsewhere = make(map[fleet.ServiceName]*serviceElsewhere)
	}
	if c.elsewhere[service] == nil {
		c.elsewhere[service] = &serviceElsewhere{free: make(map[fleet.DataCentreID]bool)}
	}
	c.elsewhere[service].pool = pool
}

// CapacityElsewhere reports whether a service is known to have free capacity in another data centre,
// with servers that accept flows of this one. It is meant for admission, which must not refuse
// flows that another data centre can take. The first Choose or RememberPool for a service must precede
// it; before that nothing is known.
func (c *Chooser) CapacityElsewhere(now time.Time, service fleet.ServiceName) bool {
	state := c.elsewhere[service]
	if state == nil {
		return false
	}
	reported := c.reportedElsewhere(now, service)
	capacity := false
	for dataCentre, servers := range state.pool.ByDataCentre {
		if dataCentre == c.DataCentre {
			continue
		}
		utilisation, known := reportedBy(reported, dataCentre)
		bound := capacityLow
		if state.free[dataCentre] {
			bound = capacityHigh
		}
		free := known && (utilisation.Free || utilisation.Limit > 0 && utilisation.InFlight < bound*utilisation.Limit) &&
			slices.ContainsFunc(servers, func(server *catalogue.Server) bool { return c.acceptsFlows(now, server) })
		state.free[dataCentre] = free
		capacity = capacity || free
	}
	return capacity
}

// ShortServices returns what this host reports to other data centres about the servers of its own.
func (c *Chooser) ShortServices(now time.Time, servers []*catalogue.Server) load.DataCentreLoads {
	return c.Load.ShortServices(now, servers, func(server *catalogue.Server) bool {
		return !server.Draining && c.acceptsFlows(now, server)
	})
}

package catalogue

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"github.com/rattanthread/rattanthread/fleet"
)

// Catalogue is an immutable snapshot of the state that a host forwards by.
type Catalogue struct {
	// Number is the sequence number of the catalogue in this process.
	Number uint64
	// Configuration is nil until one has been read.
	Configuration *Configuration

	routes  map[netip.AddrPort]*Route
	servers map[Cookie]*Server
	removed map[Cookie]*Server
	pools   map[fleet.ServiceName]*Pool
	// byDataCentre holds all servers, including those that get no new flows.
	byDataCentre map[fleet.DataCentreID][]*Server
	hosts        []fleet.Host
	hostIDs      []fleet.HostID
	hostVersions map[fleet.HostID]Version
	// evacuationsListed and serversListed say whether all records of the source have
	// been read.
	evacuationsListed, serversListed bool
	serverCount                      int
}

// Route returns the route of an address, or nil.
func (c *Catalogue) Route(address netip.AddrPort) *Route { return c.routes[address] }

// Server returns the server that a cookie identifies, or nil.
func (c *Catalogue) Server(cookie Cookie) *Server { return c.servers[cookie] }

// Restarted returns the servers that have started again, or at another address, since an earlier
// catalogue, which may be nil.
func (c *Catalogue) Restarted(earlier *Catalogue) []*Server {
	if earlier == nil {
		return nil
	}
	var restarted []*Server
	for cookie, server := range c.servers {
		if before := earlier.servers[cookie]; before != nil && !server.SameStart(before) {
			restarted = append(restarted, server)
		}
	}
	return restarted
}

// IsRemoved reports whether the server that a cookie identifies is known to have been
// removed.
func (c *Catalogue) IsRemoved(cookie Cookie) bool { return c.removed[cookie] != nil }

// Removed returns the last records of the servers that are known to have been removed.
func (c *Catalogue) Removed() map[Cookie]*Server { return c.removed }

// ServersIn returns the servers of a data centre, including those that get no new flows.
func (c *Catalogue) ServersIn(id fleet.DataCentreID) []*Server { return c.byDataCentre[id] }

// Pick returns the service that a new flow goes to, by a hash of the flow.
func (c *Catalogue) Pick(route *Route, hash uint64) fleet.ServiceName { return route.pick(hash) }

// Pool holds the servers of a service that may get new flows.
type Pool struct {
	// CatalogueNumber is the number of the catalogue that the pool belongs to.
	CatalogueNumber uint64

	All          []*Server
	ByDataCentre map[fleet.DataCentreID][]*Server
	// ColdRate is the number of new flows per second that a cold server can take; zero
	// if the configuration does not set it.
	ColdRate float64
	// Hosts are the known entry hosts, all of which may place flows on the servers.
	Hosts []fleet.HostID
}

// Pool returns the servers of a service that may get new flows. It is never nil, but
// empty for a service that has none.
func (c *Catalogue) Pool(service fleet.ServiceName) *Pool {
	if pool := c.pools[service]; pool != nil {
		return pool
	}
	return &Pool{}
}

// Services returns the services that have servers which may get new flows, in order.
func (c *Catalogue) Services() []fleet.ServiceName { return slices.Sorted(maps.Keys(c.pools)) }

// addToPool adds a server to the pool of its service.
func (c *Catalogue) addToPool(server *Server) {
	pool := c.pools[server.Service]
	if pool == nil {
		pool = &Pool{
			CatalogueNumber: c.Number,
			ByDataCentre:    make(map[fleet.DataCentreID][]*Server),
			ColdRate:        c.Service(server.Service).ColdRate,
			Hosts:           c.hostIDs,
		}
		c.pools[server.Service] = pool
	}
	pool.All = append(pool.All, server)
	pool.ByDataCentre[server.DataCentre] = append(pool.ByDataCentre[server.DataCentre], server)
}

// Hosts returns the registered entry hosts.
func (c *Catalogue) Hosts() []fleet.Host {
	if c == nil {
		return nil
	}
	return c.hosts
}

// HostVersion returns the version at which the record of a host last changed. It is zero if
// the store has no record of the host, as after a restoration that has lost it.
func (c *Catalogue) HostVersion(id fleet.HostID) Version {
	if c == nil {
		return 0
	}
	return c.hostVersions[id]
}

// Service returns the configuration of a service, or the zero value if there is none.
func (c *Catalogue) Service(name fleet.ServiceName) Service {
	if c == nil || c.Configuration == nil {
		return Service{}
	}
	return c.Configuration.Services[name]
}

// ServerCount returns the number of known servers.
func (c *Catalogue) ServerCount() int {
	if c == nil {
		return 0
	}
	return c.serverCount
}

// Ready reports whether the catalogue holds all that forwarding needs.
func (c *Catalogue) Ready() bool {
	return c.Configured() && c.evacuationsListed && c.serverCount > 0
}

// Configured reports whether a configuration is known.
func (c *Catalogue) Configured() bool { return c != nil && c.Configuration != nil }

// Complete reports whether all servers are known, as opposed to the first pages of their
// list.
func (c *Catalogue) Complete() bool { return c.serversListed }

// assignCookies sets the cookie of each server and returns the servers by cookie. Of
// two servers with the same cookie the older keeps it, since only that one can have
// flows.
func assignCookies(servers []*Server) map[Cookie]*Server {
	slices.SortFunc(servers, func(a, b *Server) int {
		return cmp.Or(cmp.Compare(a.Created, b.Created), cmp.Compare(a.ID, b.ID))
	})
	byCookie := make(map[Cookie]*Server, len(servers))
	for _, server := range servers {
		cookie := CookieOf(server.ID)
		if byCookie[cookie] != nil {
			server.Cookie = 0
			continue
		}
		server.Cookie = cookie
		byCookie[cookie] = server
	}
	return byCookie
}

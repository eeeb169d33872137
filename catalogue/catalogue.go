package catalogue

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/rattanthread/rattanthread/fleet"
)

// Catalogue is what a host knows at one moment. It is immutable.
type Catalogue struct {
	// Number counts the catalogues of this process.
	Number uint64
	// Configuration is nil while none is known.
	Configuration *Configuration

	routes  map[netip.AddrPort]*Route
	servers map[Cookie]*Server
	gone    map[Cookie]bool
	pools   map[fleet.ServiceName]*Pool
	// places holds all servers by data centre, also those that get no new flow.
	places  map[fleet.DataCentreID][]*Server
	hosts   []fleet.Host
	hostIDs []fleet.HostID
	changed map[fleet.HostID]Version // of hosts
	// evacuations says that the data centres that are out are known, and whole that
	// all servers are.
	evacuations, whole bool
	count              int
}

// Route returns the route of an address, or nil.
func (c *Catalogue) Route(address netip.AddrPort) *Route { return c.routes[address] }

// Server returns the server that a cookie names, or nil.
func (c *Catalogue) Server(cookie Cookie) *Server { return c.servers[cookie] }

// IsGone reports whether the server that a cookie names is known to have ended.
func (c *Catalogue) IsGone(cookie Cookie) bool { return c.gone[cookie] }

// Gone returns the cookies of the servers that are known to have ended.
func (c *Catalogue) Gone() map[Cookie]bool { return c.gone }

// Place returns the servers of a data centre, also those that get no new flow.
func (c *Catalogue) Place(id fleet.DataCentreID) []*Server { return c.places[id] }

// Pick returns the service that a new flow goes to, by a hash of the flow.
func (c *Catalogue) Pick(route *Route, hash uint64) fleet.ServiceName { return route.pick(hash) }

// Pool holds the servers of a service that may get new flows.
type Pool struct {
	// Catalogue is the number of the catalogue that the pool belongs to.
	Catalogue uint64

	All    []*Server
	Places map[fleet.DataCentreID][]*Server
	// ColdRate is how many flows a second a cold one of them bears; zero if the
	// configuration does not say.
	ColdRate float64
	// Hosts are all that may place flows on them, as far as they are known.
	Hosts []fleet.HostID
}

// Pool returns the servers of a service that may get new flows. It is empty, and
// not nil, for a service that has none.
func (c *Catalogue) Pool(service fleet.ServiceName) *Pool {
	if pool := c.pools[service]; pool != nil {
		return pool
	}
	return &Pool{}
}

// add puts a server into the pool of its service.
func (c *Catalogue) add(server *Server) {
	pool := c.pools[server.Service]
	if pool == nil {
		pool = &Pool{
			Catalogue: c.Number,
			Places:    make(map[fleet.DataCentreID][]*Server),
			ColdRate:  c.Service(server.Service).ColdRate,
			Hosts:     c.hostIDs,
		}
		c.pools[server.Service] = pool
	}
	pool.All = append(pool.All, server)
	pool.Places[server.DataCentre] = append(pool.Places[server.DataCentre], server)
}

// Hosts returns the entry hosts that have registered.
func (c *Catalogue) Hosts() []fleet.Host {
	if c == nil {
		return nil
	}
	return c.hosts
}

// HostChanged returns the version of the last change of a host's record.
func (c *Catalogue) HostChanged(id fleet.HostID) Version { return c.changed[id] }

// Service returns what the configuration says of a service, if anything.
func (c *Catalogue) Service(name fleet.ServiceName) Service {
	if c == nil || c.Configuration == nil {
		return Service{}
	}
	return c.Configuration.Services[name]
}

// Servers returns how many servers are known.
func (c *Catalogue) Servers() int {
	if c == nil {
		return 0
	}
	return c.count
}

// Ready reports whether the catalogue suffices to forward.
func (c *Catalogue) Ready() bool {
	return c != nil && c.Configuration != nil && c.evacuations && c.count > 0
}

// Whole reports whether all servers are known, as opposed to the first pages of
// their list.
func (c *Catalogue) Whole() bool { return c.whole }

// uniqueCookies gives each server its cookie. Of two servers with the same one
// the older keeps it, since only that one can have flows.
func uniqueCookies(servers []*Server) map[Cookie]*Server {
	slices.SortFunc(servers, func(a, b *Server) int {
		return cmp.Or(cmp.Compare(a.Created, b.Created), cmp.Compare(a.ID, b.ID))
	})
	named := make(map[Cookie]*Server, len(servers))
	for _, server := range servers {
		cookie := CookieOf(server.ID)
		if named[cookie] != nil {
			server.Cookie = 0
			continue
		}
		server.Cookie = cookie
		named[cookie] = server
	}
	return named
}

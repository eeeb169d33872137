package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/placement"
)

var start = time.Unix(1000, 0)

// pool returns servers of data centres, numbered from 0.
func pool(dataCentres ...fleet.DataCentreID) []*catalogue.Server {
	var servers []*catalogue.Server
	for i, dc := range dataCentres {
		id := fleet.ServerID(fmt.Sprintf("i-%02x", i+1))
		servers = append(servers, &catalogue.Server{ID: id, DataCentre: dc, Cookie: catalogue.CookieOf(id)})
	}
	return servers
}

// poolOf returns the pool of some servers.
func poolOf(servers []*catalogue.Server) *catalogue.Pool {
	p := &catalogue.Pool{All: servers, Places: make(map[fleet.DataCentreID][]*catalogue.Server)}
	for _, server := range servers {
		p.Places[server.DataCentre] = append(p.Places[server.DataCentre], server)
	}
	return p
}

// failed notes tries that have failed on servers.
func failed(servers ...*catalogue.Server) placement.Failed {
	var f placement.Failed
	for _, server := range servers {
		f.Add(server.Cookie)
	}
	return f
}

func TestOwnDataCentreFirst(t *testing.T) {
	is := is.New(t)
	c := placement.Chooser{DataCentre: "a"}
	servers := pool("a", "b", "a", "b")
	for flow := range uint64(1000) {
		is.Equal(c.Choose(start, poolOf(servers), flow, placement.Failed{}).DataCentre, fleet.DataCentreID("a"))
		is.Equal(c.Choose(start, poolOf(servers), flow, failed(servers[0])).DataCentre, fleet.DataCentreID("b"))
		is.Equal(c.Choose(start, poolOf(servers), flow, failed(servers[0], servers[1])).DataCentre, fleet.DataCentreID("a"))
	}
}

func TestReasonsAgainstAServer(t *testing.T) {
	tests := []struct {
		name  string
		spoil func(*placement.Chooser, *catalogue.Server)
	}{
		{"cold", func(_ *placement.Chooser, s *catalogue.Server) { s.WarmAt = start.Add(time.Second) }},
		{"suspected", func(c *placement.Chooser, s *catalogue.Server) {
			c.Suspects.Repeated(start, s.Cookie)
			c.Suspects.Repeated(start, s.Cookie)
		}},
		{"unreachable", func(c *placement.Chooser, s *catalogue.Server) {
			c.Reach.Probed(start, s.Cookie, placement.Silent, true)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := placement.Chooser{DataCentre: "a"}
			servers := pool("a", "b")
			test.spoil(&c, servers[0])
			for flow := range uint64(100) {
				is.Equal(c.Choose(start, poolOf(servers), flow, placement.Failed{}), servers[1]) // rather another data centre
			}
			is.Equal(c.Choose(start, poolOf(servers[:1]), 1, placement.Failed{}), servers[0]) // unless there is no other
		})
	}
}

func TestNextTryGoesToAnotherServer(t *testing.T) {
	is := is.New(t)
	c := placement.Chooser{DataCentre: "a"}
	servers := pool("a", "a", "a")
	for flow := range uint64(1000) {
		first := c.Choose(start, poolOf(servers), flow, placement.Failed{})
		is.True(c.Choose(start, poolOf(servers), flow, failed(first)) != first)
		is.True(c.Choose(start, poolOf(servers), flow+1, failed(first)) != first) // from another port
	}
}

func TestHostsChooseAlike(t *testing.T) {
	is := is.New(t)
	a, b := placement.Chooser{DataCentre: "a"}, placement.Chooser{DataCentre: "a"}
	servers := pool("a", "a", "b", "a")
	reversed := []*catalogue.Server{servers[3], servers[2], servers[1], servers[0]}
	for flow := range uint64(1000) {
		is.Equal(a.Choose(start, poolOf(servers), flow, placement.Failed{}), b.Choose(start, poolOf(reversed), flow, placement.Failed{}))
	}
}

func TestEmptyPool(t *testing.T) {
	is := is.New(t)
	var c placement.Chooser
	is.True(c.Choose(start, poolOf(nil), 1, placement.Failed{}) == nil)
}

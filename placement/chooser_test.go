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

// newServers returns a server in each data centre, with IDs from i-01.
func newServers(dataCentres ...fleet.DataCentreID) []*catalogue.Server {
	var servers []*catalogue.Server
	for i, dc := range dataCentres {
		id := fleet.ServerID(fmt.Sprintf("i-%02x", i+1))
		servers = append(servers, &catalogue.Server{ID: id, DataCentre: dc, Cookie: catalogue.CookieOf(id)})
	}
	return servers
}

func newPool(servers []*catalogue.Server) *catalogue.Pool {
	pool := &catalogue.Pool{All: servers, ByDataCentre: make(map[fleet.DataCentreID][]*catalogue.Server)}
	for _, server := range servers {
		pool.ByDataCentre[server.DataCentre] = append(pool.ByDataCentre[server.DataCentre], server)
	}
	return pool
}

// failedOn returns a record of failed attempts on the given servers.
func failedOn(servers ...*catalogue.Server) placement.FailedAttempts {
	var f placement.FailedAttempts
	for _, server := range servers {
		f.Add(server.Cookie)
	}
	return f
}

func TestOwnDataCentreFirst(t *testing.T) {
	is := is.New(t)
	chooser := placement.Chooser{DataCentre: "a"}
	servers := newServers("a", "b", "a", "b")
	for flow := range uint64(1000) {
		is.Equal(chooser.Choose(start, newPool(servers), flow, placement.FailedAttempts{}).DataCentre, fleet.DataCentreID("a"))
		is.Equal(chooser.Choose(start, newPool(servers), flow, failedOn(servers[0])).DataCentre, fleet.DataCentreID("b"))
		is.Equal(chooser.Choose(start, newPool(servers), flow, failedOn(servers[0], servers[1])).DataCentre, fleet.DataCentreID("a"))
	}
}

func TestReasonsAgainstAServer(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(*placement.Chooser, *catalogue.Server)
	}{
		{"cold", func(_ *placement.Chooser, s *catalogue.Server) { s.WarmAt = start.Add(time.Second) }},
		{"suspected", func(chooser *placement.Chooser, s *catalogue.Server) {
			chooser.Suspects.RecordRetransmission(start, s.Cookie)
			chooser.Suspects.RecordRetransmission(start, s.Cookie)
		}},
		{"unreachable", func(chooser *placement.Chooser, s *catalogue.Server) {
			chooser.Reachability.RecordProbe(start, s.Cookie, placement.Silent, true)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			chooser := placement.Chooser{DataCentre: "a"}
			servers := newServers("a", "b")
			test.prepare(&chooser, servers[0])
			for flow := range uint64(100) {
				is.Equal(chooser.Choose(start, newPool(servers), flow, placement.FailedAttempts{}), servers[1]) // prefers another data centre
			}
			is.Equal(chooser.Choose(start, newPool(servers[:1]), 1, placement.FailedAttempts{}), servers[0]) // without an alternative
		})
	}
}

func TestNextTryGoesToAnotherServer(t *testing.T) {
	is := is.New(t)
	chooser := placement.Chooser{DataCentre: "a"}
	servers := newServers("a", "a", "a")
	for flow := range uint64(1000) {
		first := chooser.Choose(start, newPool(servers), flow, placement.FailedAttempts{})
		is.True(chooser.Choose(start, newPool(servers), flow, failedOn(first)) != first)
		is.True(chooser.Choose(start, newPool(servers), flow+1, failedOn(first)) != first) // retried from another port
	}
}

func TestHostsChooseAlike(t *testing.T) {
	is := is.New(t)
	a, b := placement.Chooser{DataCentre: "a"}, placement.Chooser{DataCentre: "a"}
	servers := newServers("a", "a", "b", "a")
	reversed := []*catalogue.Server{servers[3], servers[2], servers[1], servers[0]}
	for flow := range uint64(1000) {
		is.Equal(a.Choose(start, newPool(servers), flow, placement.FailedAttempts{}), b.Choose(start, newPool(reversed), flow, placement.FailedAttempts{}))
	}
}

func TestEmptyPool(t *testing.T) {
	is := is.New(t)
	var chooser placement.Chooser
	is.True(chooser.Choose(start, newPool(nil), 1, placement.FailedAttempts{}) == nil)
}

package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/placement"
)

// respond records count responses of a server, 10 ms apart.
func respond(l *placement.LoadTracker, now *time.Time, server *catalogue.Server, latency time.Duration, count int) {
	for range count {
		*now = now.Add(10 * time.Millisecond)
		l.RecordResponse(*now, server, latency)
	}
}

// TestOverloadedDataCentreSpills simulates a data centre that has lost most of its
// servers: the remaining ones respond late until new flows go to another data centre.
func TestOverloadedDataCentreSpills(t *testing.T) {
	is := is.New(t)
	c := placement.Chooser{DataCentre: "a"}
	servers := newServers("a", "b", "b")
	local := servers[0]
	now := start
	choose := func() fleet.DataCentreID {
		return c.Choose(now, newPool(servers), 7, placement.FailedAttempts{}).DataCentre
	}
	respond(&c.Loads, &now, local, 25*time.Millisecond, 50)
	is.Equal(choose(), fleet.DataCentreID("a"))
	respond(&c.Loads, &now, local, 300*time.Millisecond, 20)
	is.Equal(choose(), fleet.DataCentreID("b"))
	respond(&c.Loads, &now, local, 45*time.Millisecond, 50)
	is.Equal(choose(), fleet.DataCentreID("a")) // no longer busy
}

func TestBusyEverywhereStaysLocal(t *testing.T) {
	is := is.New(t)
	c := placement.Chooser{DataCentre: "a"}
	servers := newServers("a", "b")
	now := start
	for range 60 {
		for _, server := range servers {
			respond(&c.Loads, &now, server, 25*time.Millisecond, 1)
		}
	}
	for range 40 {
		for _, server := range servers {
			respond(&c.Loads, &now, server, 400*time.Millisecond, 1)
		}
	}
	is.Equal(c.Choose(now, newPool(servers), 7, placement.FailedAttempts{}), servers[0])
}

func TestOneSlowAnswerIsNoLoad(t *testing.T) {
	is := is.New(t)
	var l placement.LoadTracker
	server := newServers("a")[0]
	now := start
	respond(&l, &now, server, 25*time.Millisecond, 50)
	respond(&l, &now, server, 200*time.Millisecond, 1)
	is.True(!l.Busy(now, server.Cookie))
}

func TestLoadIsForgotten(t *testing.T) {
	is := is.New(t)
	var l placement.LoadTracker
	server := newServers("a")[0]
	now := start
	respond(&l, &now, server, 25*time.Millisecond, 50)
	respond(&l, &now, server, 400*time.Millisecond, 50)
	is.True(l.Busy(now, server.Cookie))
	is.True(!l.Busy(now.Add(time.Minute), server.Cookie)) // expired
}

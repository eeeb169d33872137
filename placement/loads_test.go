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
func respond(loads *placement.LoadTracker, now *time.Time, server *catalogue.Server, latency time.Duration, count int) {
	for range count {
		*now = now.Add(10 * time.Millisecond)
		loads.RecordResponse(*now, server, latency)
	}
}

// TestOverloadedDataCentreSpills simulates a data centre that has lost most of its
// servers: the remaining ones respond late until new flows go to another data centre.
func TestOverloadedDataCentreSpills(t *testing.T) {
	is := is.New(t)
	chooser := placement.Chooser{DataCentre: "a"}
	servers := newServers("a", "b", "b")
	local := servers[0]
	now := start
	choose := func() fleet.DataCentreID {
		return chooser.Choose(now, newPool(servers), 7, placement.FailedAttempts{}).DataCentre
	}
	respond(&chooser.Loads, &now, local, 25*time.Millisecond, 50)
	is.Equal(choose(), fleet.DataCentreID("a"))
	respond(&chooser.Loads, &now, local, 300*time.Millisecond, 20)
	is.Equal(choose(), fleet.DataCentreID("b"))
	respond(&chooser.Loads, &now, local, 45*time.Millisecond, 50)
	is.Equal(choose(), fleet.DataCentreID("a")) // no longer busy
}

func TestBusyEverywhereStaysLocal(t *testing.T) {
	is := is.New(t)
	chooser := placement.Chooser{DataCentre: "a"}
	servers := newServers("a", "b")
	now := start
	for range 60 {
		for _, server := range servers {
			respond(&chooser.Loads, &now, server, 25*time.Millisecond, 1)
		}
	}
	for range 40 {
		for _, server := range servers {
			respond(&chooser.Loads, &now, server, 400*time.Millisecond, 1)
		}
	}
	is.Equal(chooser.Choose(now, newPool(servers), 7, placement.FailedAttempts{}), servers[0])
}

func TestOneSlowAnswerIsNoLoad(t *testing.T) {
	is := is.New(t)
	var loads placement.LoadTracker
	server := newServers("a")[0]
	now := start
	respond(&loads, &now, server, 25*time.Millisecond, 50)
	respond(&loads, &now, server, 200*time.Millisecond, 1)
	is.True(!loads.Busy(now, server.Cookie))
}

func TestLoadIsForgotten(t *testing.T) {
	is := is.New(t)
	var loads placement.LoadTracker
	server := newServers("a")[0]
	now := start
	respond(&loads, &now, server, 25*time.Millisecond, 50)
	respond(&loads, &now, server, 400*time.Millisecond, 50)
	is.True(loads.Busy(now, server.Cookie))
	is.True(!loads.Busy(now.Add(time.Minute), server.Cookie)) // expired
}

package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/placement"
)

// answer lets a server answer a number of requests, 10 ms apart.
func answer(l *placement.Loads, now *time.Time, server *catalogue.Server, took time.Duration, count int) {
	for range count {
		*now = now.Add(10 * time.Millisecond)
		l.Answered(*now, server, took)
	}
}

// TestOverloadedDataCentreSpills is the load of a data centre that has lost most
// of its servers: those that are left answer late, until flows have gone elsewhere.
func TestOverloadedDataCentreSpills(t *testing.T) {
	is := is.New(t)
	c := placement.Chooser{DataCentre: "a"}
	servers := pool("a", "b", "b")
	local := servers[0]
	now := start
	choose := func() fleet.DataCentreID {
		return c.Choose(now, poolOf(servers), 7, placement.Failed{}).DataCentre
	}
	answer(&c.Loads, &now, local, 25*time.Millisecond, 50)
	is.Equal(choose(), fleet.DataCentreID("a"))
	answer(&c.Loads, &now, local, 300*time.Millisecond, 20)
	is.Equal(choose(), fleet.DataCentreID("b"))
	answer(&c.Loads, &now, local, 45*time.Millisecond, 50)
	is.Equal(choose(), fleet.DataCentreID("a")) // home again
}

func TestBusyEverywhereStaysLocal(t *testing.T) {
	is := is.New(t)
	c := placement.Chooser{DataCentre: "a"}
	servers := pool("a", "b")
	now := start
	for range 60 {
		for _, server := range servers {
			answer(&c.Loads, &now, server, 25*time.Millisecond, 1)
		}
	}
	for range 40 {
		for _, server := range servers {
			answer(&c.Loads, &now, server, 400*time.Millisecond, 1)
		}
	}
	is.Equal(c.Choose(now, poolOf(servers), 7, placement.Failed{}), servers[0])
}

func TestOneSlowAnswerIsNoLoad(t *testing.T) {
	is := is.New(t)
	var l placement.Loads
	server := pool("a")[0]
	now := start
	answer(&l, &now, server, 25*time.Millisecond, 50)
	answer(&l, &now, server, 200*time.Millisecond, 1)
	is.True(!l.Busy(now, server.Cookie))
}

func TestLoadIsForgotten(t *testing.T) {
	is := is.New(t)
	var l placement.Loads
	server := pool("a")[0]
	now := start
	answer(&l, &now, server, 25*time.Millisecond, 50)
	answer(&l, &now, server, 400*time.Millisecond, 50)
	is.True(l.Busy(now, server.Cookie))
	is.True(!l.Busy(now.Add(time.Minute), server.Cookie)) // nobody was there to tell
}

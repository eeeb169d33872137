package backend_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// single returns a Pool of a fleet of one host, past its start, with demand for s1.
func single() (*backend.Pool, time.Time) {
	p := &backend.Pool{}
	now := epoch
	p.Install(now, backend.View{
		Self:    "h0",
		Hosts:   []fleet.HostID{"h0"},
		Servers: []config.Server{{Name: "s1", ColdRate: 10}},
	})
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		for range 20 {
			p.Credit().Take(now, "s1")
		}
		p.Tick(now)
	}
	return p, now
}

func ExampleCredit_Take() {
	p := &backend.Pool{}
	p.Install(epoch, backend.View{
		Self:    "h0",
		Hosts:   []fleet.HostID{"h0"},
		Servers: []config.Server{{Name: "s1"}},
	})
	// Nothing is known of the server: it is cold, and credit is asked for first.
	fmt.Println(p.Admission("s1") == backend.AdmitByCredit, p.Credit().Take(epoch, "s1"))
	// Output: true false
}

// TestCreditIsSpentOnce takes credit from many goroutines.
func TestCreditIsSpentOnce(t *testing.T) {
	is := is.New(t)
	p, now := single()
	now = now.Add(2 * time.Second) // all credit of the start has lapsed
	for range 20 {
		p.Credit().Take(now, "s1")
	}
	p.Tick(now)
	var taken atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 100 {
				if p.Credit().Take(now, "s1") {
					taken.Add(1)
				}
			}
		})
	}
	wg.Wait()
	is.Equal(taken.Load(), int64(10))
}

func TestCreditLapses(t *testing.T) {
	is := is.New(t)
	p, now := single()
	now = now.Add(2 * time.Second)
	p.Credit().Take(now, "s1")
	p.Tick(now)
	is.True(!p.Credit().Take(now.Add(backend.DefaultCreditLifetime), "s1"))
	is.True(!p.Credit().Take(now, "s1")) // lapsed credit is gone
}

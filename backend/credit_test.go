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

// singleHostPool returns the Pool of a fleet of one host, some time after its start,
// with demand for s1.
func singleHostPool() (*backend.Pool, time.Time) {
	pool := &backend.Pool{}
	now := epoch
	pool.Install(now, backend.View{
		Self:    "h0",
		Hosts:   []fleet.HostID{"h0"},
		Servers: []config.Server{{Name: "s1", ColdRate: 10}},
	})
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		for range 20 {
			pool.Credit().Take(now, "s1")
		}
		pool.Tick(now)
	}
	return pool, now
}

func ExampleCredit_Take() {
	pool := &backend.Pool{}
	pool.Install(epoch, backend.View{
		Self:    "h0",
		Hosts:   []fleet.HostID{"h0"},
		Servers: []config.Server{{Name: "s1"}},
	})
	// There is no record of the server yet: it counts as cold and needs credit.
	fmt.Println(pool.Admission("s1") == backend.AdmitByCredit, pool.Credit().Take(epoch, "s1"))
	// Output: true false
}

// TestCreditIsSpentOnce checks that concurrent callers do not spend a unit twice.
func TestCreditIsSpentOnce(t *testing.T) {
	is := is.New(t)
	pool, now := singleHostPool()
	now = now.Add(2 * time.Second) // the credit from the start has expired
	for range 20 {
		pool.Credit().Take(now, "s1")
	}
	pool.Tick(now)
	var taken atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 100 {
				if pool.Credit().Take(now, "s1") {
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
	pool, now := singleHostPool()
	now = now.Add(2 * time.Second)
	pool.Credit().Take(now, "s1")
	pool.Tick(now)
	is.True(!pool.Credit().Take(now.Add(backend.DefaultCreditLifetime), "s1"))
	is.True(!pool.Credit().Take(now, "s1")) // expired credit was discarded
}

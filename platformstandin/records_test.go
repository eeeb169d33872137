package platformstandin_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/platformstandin"
)

// TestRecordsOfHosts kills one host of a data centre permanently and deletes the
// record of another that is running. The record of the first host must expire; the
// second host must write its record again.
func TestRecordsOfHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := platformstandin.Site{Zones: []string{"a"}, HostsPerZone: 3, TargetsPerZone: 1, Seed: 1}
		records := func() int { return len(site.Store.Names("rattanthread_hosts")) }
		var afterKill, afterExpiry, afterDeletion int
		report := site.Run(16*time.Minute, platformstandin.Fault{Inject: func(s *platformstandin.Site) {
			time.Sleep(5 * time.Second)
			s.ProcessOf(s.Hosts()[1]).Kill()
			time.Sleep(8 * time.Minute)
			afterKill = records()
			time.Sleep(5 * time.Minute)
			afterExpiry = records()
			s.Store.Delete("rattanthread_hosts", s.Hosts()[2].Name)
			time.Sleep(10 * time.Second)
			afterDeletion = records()
		}})
		is.Equal(afterKill, 3) // the killed host may still restart
		is.Equal(afterExpiry, 2)
		is.Equal(afterDeletion, 2)
		is.Equal(len(report.Violations), 0)
	})
}

// TestLostRecordsOfHosts restores the store from a copy without the records of the hosts. Each
// host must write its own again.
func TestLostRecordsOfHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := platformstandin.Site{Zones: []string{"a", "b"}, HostsPerZone: 2, TargetsPerZone: 1, Seed: 1}
		var before, after int
		report := site.Run(10*time.Second, platformstandin.Fault{Inject: func(s *platformstandin.Site) {
			before = len(s.Store.Names("rattanthread_hosts"))
			s.RestoreStore(time.Second, 5500*time.Millisecond)
			time.Sleep(5 * time.Second)
			after = len(s.Store.Names("rattanthread_hosts"))
		}})
		is.Equal(before, 4)
		is.Equal(after, 4)
		is.Equal(len(report.Violations), 0)
	})
}

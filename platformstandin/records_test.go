package platformstandin_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/platformstandin"
)

// TestRecordsOfHosts ends one host of a data centre for good and removes the record
// of another that lives. The first record goes, the second one comes back.
func TestRecordsOfHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := platformstandin.Site{Zones: []string{"a"}, HostsPerZone: 3, TargetsPerZone: 1, Seed: 1}
		records := func() int { return len(site.Store.Names("rattanthread_hosts")) }
		var early, late, again int
		report := site.Run(16*time.Minute, platformstandin.Trouble{Apply: func(s *platformstandin.Site) {
			time.Sleep(5 * time.Second)
			s.RunOf(s.Hosts()[1]).Kill()
			time.Sleep(8 * time.Minute)
			early = records()
			time.Sleep(5 * time.Minute)
			late = records()
			s.Store.Delete("rattanthread_hosts", s.Hosts()[2].Name)
			time.Sleep(10 * time.Second)
			again = records()
		}})
		is.Equal(early, 3) // it may come back
		is.Equal(late, 2)
		is.Equal(again, 2)
		is.Equal(len(report.Broken), 0)
	})
}

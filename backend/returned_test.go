package backend_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/fleet"
)

// TestReturnedHostsAreComparedWith checks that digests are compared immediately with
// hosts that disappear and return, but not with new ones.
func TestReturnedHostsAreComparedWith(t *testing.T) {
	is := is.New(t)
	var pool backend.Pool
	now := time.Unix(1_700_000_000, 0)
	install := func(hosts ...fleet.HostID) []fleet.HostID {
		now = now.Add(time.Second)
		var compared []fleet.HostID
		for _, send := range pool.Install(now, backend.View{Self: "a1", Hosts: hosts}) {
			if _, ok := send.Message.(*backend.RecordDigest); ok {
				compared = append(compared, send.To)
			}
		}
		return compared
	}
	is.Equal(len(install("a1", "b1", "b2")), 0) // all hosts are new
	is.Equal(len(install("a1")), 0)
	is.Equal(install("a1", "b1", "b2", "b3"), []fleet.HostID{"b1", "b2"})
	is.Equal(len(install("a1", "b1", "b2", "b3")), 0)
}

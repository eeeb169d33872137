package control_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/control"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/membership"
)

// TestDoubted checks when a host of another data centre counts as partitioned: it
// is dead, returns, and has been back for longer than the limit. Dead hosts of the
// local data centre and departed hosts never count.
func TestDoubted(t *testing.T) {
	member := func(id fleet.HostID, centre fleet.DataCentreID, status membership.Status) membership.Member {
		return membership.Member{Host: fleet.Host{ID: id, DataCentre: centre}, Status: status}
	}
	steps := []struct {
		name   string
		after  time.Duration
		status membership.Status
		want   bool
	}{
		{"alive", 0, membership.Alive, false},
		{"dead", time.Second, membership.Dead, true},
		{"dead for an hour", time.Hour, membership.Dead, true},
		{"alive for 9 s", 9 * time.Second, membership.Alive, true},
		{"alive for 11 s", 2 * time.Second, membership.Alive, false},
	}
	is := is.New(t)
	observe := control.NewPartitionedHosts("a")
	now := time.Unix(1_700_000_000, 0)
	for _, step := range steps {
		t.Log(step.name)
		now = now.Add(step.after)
		hosts := observe(now, []membership.Member{
			member("a2", "a", membership.Dead), member("b1", "b", step.status), member("b2", "b", membership.Left),
		})
		is.Equal(slices.Contains(hosts, "b1"), step.want)
		is.True(!slices.Contains(hosts, "a2") && !slices.Contains(hosts, "b2"))
	}
}

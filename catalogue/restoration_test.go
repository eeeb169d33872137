package catalogue_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
)

// at returns a version of an epoch.
func at(epoch fleet.StoreEpoch, revision catalogue.Revision) catalogue.Version {
	return catalogue.NewVersion(epoch, revision)
}

func TestVersionsOfEpochsAreOrdered(t *testing.T) {
	is := is.New(t)
	is.True(at(1, 900) < at(2, 3))
	is.Equal(at(2, 3).Epoch(), fleet.StoreEpoch(2))
	is.Equal(at(2, 3).Revision(), catalogue.Revision(3))
	is.Equal(at(2, 3).String(), "2:3")
	is.Equal(at(0, 3).String(), "3")
	is.True(at(1, 1<<60) < at(2, 0))
}

// TestConfigurationOfRestoredStore guards against configurations that are missed or come back
// older: the revisions of a restored store are not comparable with those of before.
func TestConfigurationOfRestoredStore(t *testing.T) {
	type step struct {
		version catalogue.Version
		number  uint64
	}
	tests := []struct {
		name  string
		steps []step
		want  []uint64 // the number in force after each step
	}{
		{"an older one in the copy is ignored", []step{{at(1, 29), 11}, {at(2, 27), 6}}, []uint64{11, 11}},
		{"it is written again, and changes with a known revision", []step{{at(1, 29), 11}, {at(2, 28), 11}, {at(2, 29), 13}}, []uint64{11, 11, 13}},
		{"all are written again, in order", []step{{at(1, 29), 11}, {at(2, 27), 6}, {at(2, 28), 9}, {at(2, 29), 11}, {at(2, 30), 12}}, []uint64{11, 11, 11, 11, 12}},
		{"a host that starts uses the copy until then", []step{{at(2, 27), 6}, {at(2, 28), 11}}, []uint64{6, 11}},
		{"two restorations", []step{{at(1, 29), 11}, {at(2, 28), 9}, {at(3, 20), 6}, {at(3, 21), 12}}, []uint64{11, 11, 11, 12}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var tracker catalogue.Tracker
			for i, s := range test.steps {
				tracker.Apply(start, configuration(s.version, s.number))
				is.Equal(tracker.Current().Configuration.Number, test.want[i])
				is.Equal(tracker.Version(catalogue.Configurations), s.version)
			}
		})
	}
}

// TestChangesOfUnknownEpoch guards against changes that are applied to the records of an
// earlier epoch.
func TestChangesOfUnknownEpoch(t *testing.T) {
	is := is.New(t)
	var tracker catalogue.Tracker
	tracker.Apply(start, servers(at(1, 5), true, record(server("i-01", at(1, 5)))))
	is.True(!tracker.Apply(start, servers(at(2, 6), false, removed("i-01", at(2, 6)))))
	is.Equal(tracker.Version(catalogue.Servers), at(1, 5))
}

func TestListAcrossEpochsStartsAgain(t *testing.T) {
	is := is.New(t)
	var listing catalogue.Listing
	_, done := listing.Add(start, servers(at(1, 5), false, record(server("i-01", at(1, 5)))), "i-01")
	is.True(!done)
	_, done = listing.Add(start, servers(at(2, 3), false), "")
	is.True(!done)
	is.Equal(listing.After(), "")
	list, done := listing.Add(start, servers(at(2, 3), false, record(server("i-02", at(2, 3)))), "")
	is.True(done)
	is.Equal(len(list.Records), 1)
	is.Equal(list.Version, at(2, 3))
}

// TestDrainingServerOfRestoredStore guards against new flows on a draining server that the
// restored store still calls ready.
func TestDrainingServerOfRestoredStore(t *testing.T) {
	is := is.New(t)
	var tracker catalogue.Tracker
	ready := record(server("i-01", at(1, 5)))
	ready.Heartbeat = 3
	tracker.Apply(start, servers(at(1, 5), true, ready))
	drains := server("i-01", at(1, 9))
	drains.Draining = true
	tracker.Apply(start, servers(at(1, 9), false, catalogue.Record{Name: "i-01", Changed: at(1, 9), Server: drains, Heartbeat: 8}))

	restored := record(server("i-01", at(2, 5)))
	restored.Heartbeat = 4
	tracker.Apply(start, servers(at(2, 6), true, restored))
	is.Equal(len(tracker.Current().Pool("bench").All), 0)
	is.True(tracker.Current().Server(catalogue.CookieOf("i-01")) != nil) // its flows continue

	reborn := record(server("i-01", at(2, 7)))
	reborn.Server.Started = 50
	tracker.Apply(start, servers(at(2, 7), false, reborn))
	is.Equal(len(tracker.Current().Pool("bench").All), 1)
}

// TestLostServerIsKeptUntilItRegistersAgain loses the record of a live server.
func TestLostServerIsKeptUntilItRegistersAgain(t *testing.T) {
	for _, returns := range []bool{true, false} {
		is := is.New(t)
		var tracker catalogue.Tracker
		tracker.Apply(start, servers(at(1, 5), true, record(server("i-01", at(1, 5)))))
		now := start.Add(time.Second) // shorter than an outage
		tracker.Apply(now, servers(at(2, 3), true))
		is.Equal(len(tracker.Current().Pool("bench").All), 1)
		if returns {
			tracker.Apply(now.Add(time.Second), servers(at(2, 4), false, record(server("i-01", at(2, 4)))))
		}
		tracker.Tick(now.Add(catalogue.RecoveryGrace))
		is.Equal(len(tracker.Current().Pool("bench").All) == 1, returns)
	}
}

// TestEndedServerStaysOutOfUse guards against a server that had left and is used again,
// because the copy that the store was restored from still has its record.
func TestEndedServerStaysOutOfUse(t *testing.T) {
	tests := []struct {
		name   string
		update catalogue.Update // after the restoration
		after  time.Duration
		used   bool
	}{
		{"its record expires", servers(at(2, 6), false, removed("i-01", at(2, 6))), time.Hour, false},
		{"its record is listed again", servers(at(2, 6), true, record(server("i-01", at(2, 5)))), time.Second, false},
		{"it writes its record again", servers(at(2, 6), false, record(server("i-01", at(2, 6)))), time.Second, true},
		{"its record is still there after the grace period", servers(at(2, 6), false), catalogue.DefaultRestorationGrace, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var tracker catalogue.Tracker
			tracker.Apply(start, servers(at(1, 5), true, record(server("i-01", at(1, 5)))))
			tracker.Apply(start, servers(at(1, 9), false, removed("i-01", at(1, 9))))
			is.True(tracker.Current().IsRemoved(catalogue.CookieOf("i-01")))
			tracker.Apply(start, servers(at(2, 5), true, record(server("i-01", at(2, 5)))))
			is.Equal(len(tracker.Current().Pool("bench").All), 0)
			tracker.Apply(start, test.update)
			tracker.Tick(start.Add(test.after))
			is.Equal(len(tracker.Current().Pool("bench").All) == 1, test.used)
		})
	}
}

// TestLostEvacuationStaysInForce guards against new flows in a data centre that operators
// have taken out of service, until they write that again.
func TestLostEvacuationStaysInForce(t *testing.T) {
	out := func(version catalogue.Version) catalogue.Record { return catalogue.Record{Name: "a", Changed: version} }
	tests := []struct {
		name   string
		update catalogue.Update // after the restoration
		after  time.Duration
		out    bool
	}{
		{"nothing is written", catalogue.Update{Source: catalogue.Evacuations, Version: at(2, 4)}, time.Second, true},
		{"nothing is written in time", catalogue.Update{Source: catalogue.Evacuations, Version: at(2, 4)}, catalogue.DefaultRestorationGrace, false},
		{"it is written again", catalogue.Update{Source: catalogue.Evacuations, Version: at(2, 4), Records: []catalogue.Record{out(at(2, 4))}}, time.Hour, true},
		{"it is written again and removed", catalogue.Update{Source: catalogue.Evacuations, Version: at(2, 5), Records: []catalogue.Record{out(at(2, 4)), removed("a", at(2, 5))}}, time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var tracker catalogue.Tracker
			tracker.Apply(start, servers(at(1, 1), true, record(server("i-01", at(1, 1)))))
			tracker.Apply(start, evacuations(at(1, 9), out(at(1, 9))))
			tracker.Apply(start, evacuations(at(2, 3)))
			is.Equal(len(tracker.Current().Pool("bench").All), 0)
			is.Equal(len(tracker.Snapshot(start, catalogue.Evacuations).Records), 0) // a follower retains it by itself
			tracker.Apply(start, test.update)
			tracker.Tick(start.Add(test.after))
			is.Equal(len(tracker.Current().Pool("bench").All) == 0, test.out)
		})
	}
}

// TestLostHostCounts guards against a cold server that gets too many flows: each host takes
// a share of its limit that depends on the number of hosts.
func TestLostHostCounts(t *testing.T) {
	is := is.New(t)
	host := func(id fleet.HostID, version catalogue.Version) catalogue.Record {
		return catalogue.Record{Name: string(id), Changed: version, Host: &fleet.Host{ID: id}}
	}
	list := func(version catalogue.Version, records ...catalogue.Record) catalogue.Update {
		return catalogue.Update{Source: catalogue.Hosts, Full: true, Version: version, Records: records, AsOf: start}
	}
	var tracker catalogue.Tracker
	tracker.Apply(start, list(at(1, 9), host("a-1", at(1, 8)), host("a-2", at(1, 9))))
	tracker.Apply(start, list(at(2, 8), host("a-1", at(2, 8))))
	is.Equal(len(tracker.Current().Hosts()), 2)
	is.True(tracker.Current().HostVersion("a-1") != 0)
	is.Equal(tracker.Current().HostVersion("a-2"), catalogue.Version(0)) // it must register again
	tracker.Tick(start.Add(time.Hour))
	is.Equal(len(tracker.Current().Hosts()), 1)
}

// TestRepeatedExpiryIsPaced guards against calls without a pause: a list whose version the
// store does not have either is followed by the next one at once.
func TestRepeatedExpiryIsPaced(t *testing.T) {
	is := is.New(t)
	follower := catalogue.Follower{Bound: 3 * time.Second}
	follower.Succeeded(start, 7, start)
	is.Equal(follower.HistoryExpired(), time.Duration(0))
	waited := time.Duration(0)
	for range 4 {
		follower.Succeeded(start, 7, start)
		waited += follower.HistoryExpired()
	}
	is.True(waited >= time.Second)
	follower.Succeeded(start, 8, start)
	follower.Succeeded(start, 9, start) // a watch
	is.Equal(follower.HistoryExpired(), time.Duration(0))
}

// TestLostRecordsProveNothing guards against flows that are reset for the lack of a record that the store has lost, until its
// writer has written it again.
func TestLostRecordsProveNothing(t *testing.T) {
	const source = catalogue.Servers
	step := func(tracker *catalogue.Tracker, now time.Time, version catalogue.Version, grace time.Duration) time.Time {
		update := servers(version, true, record(server("i-01", version)))
		update.AsOf, update.Grace = now, grace
		tracker.Apply(now, update)
		return tracker.CompleteAt(source)
	}
	before, after := start.Add(time.Second), start.Add(2*time.Second)
	for _, test := range []struct {
		name    string
		version catalogue.Version
		grace   time.Duration
		lasts   time.Duration
	}{
		{"no outage", at(1, 3), 0, 0},
		{"outage", at(1, 3), catalogue.RecoveryGrace, catalogue.RecoveryGrace},
		{"restoration", at(2, 3), 0, catalogue.DefaultRestorationGrace},
		{"restoration after an outage", at(2, 3), catalogue.RecoveryGrace, catalogue.DefaultRestorationGrace},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var tracker catalogue.Tracker
			is.Equal(step(&tracker, start, at(1, 1), 0), start)
			is.Equal(step(&tracker, before, at(1, 2), 0), before)
			got := step(&tracker, after, test.version, test.grace)
			is.Equal(tracker.ConfirmedAt(source), after)
			if test.lasts == 0 {
				is.Equal(got, after)
				return
			}
			is.Equal(got, before)
			settled := after.Add(test.lasts)
			for now := after.Add(time.Second); now.Before(settled); now = now.Add(time.Second) {
				is.Equal(step(&tracker, now, test.version, 0), before)
			}
			is.Equal(step(&tracker, settled.Add(-time.Nanosecond), test.version, 0), before)
			is.Equal(step(&tracker, settled, test.version, 0), settled)
		})
	}
	t.Run("two outages", func(t *testing.T) {
		is := is.New(t)
		var tracker catalogue.Tracker
		step(&tracker, start, at(1, 1), 0)
		for i := range 3 { // each begins before the records of the last one are complete
			now := after.Add(time.Duration(i) * time.Second)
			is.Equal(step(&tracker, now, at(1, 2), catalogue.RecoveryGrace), start)
		}
	})
	t.Run("the host was out of date", func(t *testing.T) {
		is := is.New(t)
		var tracker catalogue.Tracker
		step(&tracker, start, at(1, 1), 0)
		is.Equal(step(&tracker, start.Add(catalogue.OutageThreshold+time.Second), at(1, 2), 0), start)
	})
	t.Run("configuration of a restored store", func(t *testing.T) {
		is := is.New(t)
		var tracker catalogue.Tracker
		for _, s := range []struct {
			version catalogue.Version
			asOf    time.Time
			want    time.Time
		}{
			{at(1, 9), before, before},
			{at(2, 5), after, before},
			{at(2, 6), after.Add(catalogue.DefaultRestorationGrace), after.Add(catalogue.DefaultRestorationGrace)},
		} {
			update := configuration(s.version, 3)
			update.AsOf = s.asOf
			tracker.Apply(s.asOf, update)
			is.Equal(tracker.CompleteAt(catalogue.Configurations), s.want)
		}
	})
}

package catalogue

import (
	"maps"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Timing after a restoration of the store.
const (
	// DefaultRestorationGrace exceeds the time in which lost records are written again and
	// restored records of servers that have ended expire.
	DefaultRestorationGrace = 5 * time.Second
	// hostRetention is how long a lost record of an entry host counts. A live host that does
	// not reach the store can't write it again.
	hostRetention = 10 * time.Minute
)

// retainedState is the state of earlier epochs that a restored store contradicts. It is kept
// for a time, in which its writers write it again.
type retainedState struct {
	// until holds the end of the retention by source.
	until [sourceCount]time.Time
	// out are data centres whose evacuation was lost.
	out map[fleet.DataCentreID]bool
	// servers are the records of removed servers that have returned.
	servers map[string]Record
}

// startRestorationGrace starts the retention of a source. Servers whose records were lost are
// kept as after an outage.
func (t *Tracker) startRestorationGrace(now time.Time, source Source) {
	grace := orDefault(t.RestorationGrace, DefaultRestorationGrace)
	switch source {
	case Servers:
		t.graceUntil = now.Add(RecoveryGrace)
	case Hosts:
		grace = hostRetention
	case Configurations, Evacuations:
	}
	t.retained.until[source] = now.Add(grace)
	t.expectRewrites(source, t.retained.until[source])
}

// retainEvacuations keeps the data centres out of service that a restored store does not
// have.
func (t *Tracker) retainEvacuations(restored map[fleet.DataCentreID]bool, version Version) {
	retained := t.dataCentresOut()
	maps.DeleteFunc(retained, func(id fleet.DataCentreID, _ bool) bool { return restored[id] })
	for _, id := range slices.Sorted(maps.Keys(retained)) {
		t.addChange(Change{Kind: DataCentreRetained, Name: string(id), Version: version})
	}
	t.retained.out = retained
}

// holdRemovedServers returns the records of an update without those of servers that had ended
// before the store was restored. These records expire, or are used after the grace period.
func (t *Tracker) holdRemovedServers(update Update, restored bool) []Record {
	if !restored && len(t.retained.servers) == 0 {
		return update.Records
	}
	held := t.retained.servers
	if update.Full || held == nil {
		t.retained.servers = make(map[string]Record)
	}
	var records []Record
	for _, record := range update.Records {
		earlier, known := held[record.Name]
		switch {
		case restored && t.hadEnded(record):
			t.addServerChange(ServerHeld, record.Server, record.Changed)
			t.retained.servers[record.Name] = record
		case known && !record.Removed && record.Changed == earlier.Changed:
			t.retained.servers[record.Name] = record
		default:
			delete(t.retained.servers, record.Name)
			records = append(records, record)
		}
	}
	return records
}

// hadEnded reports whether a record is that of a server that is known to have ended.
func (t *Tracker) hadEnded(record Record) bool {
	if record.Server == nil || t.servers[record.Name] != nil {
		return false
	}
	ended, ok := t.removed[CookieOf(record.Server.ID)]
	return ok && ended.server.Started == record.Server.Started
}

// isNewerAcrossEpochs reports whether the server wrote the tracked record after another one
// of a later epoch, which is then from the copy that the store was restored from.
func (s *trackedServer) isNewerAcrossEpochs(other Record) bool {
	switch {
	case s.server.Changed.Epoch() == other.Changed.Epoch():
		return false
	case s.server.Started != other.Server.Started:
		return s.server.Started > other.Server.Started
	}
	return s.heartbeat > other.Heartbeat
}

// retainedHosts returns the hosts that stay known when all records of an epoch are read:
// those of earlier epochs, for a time.
func (t *Tracker) retainedHosts(now time.Time, epoch fleet.StoreEpoch) map[string]Record {
	hosts := make(map[string]Record)
	if !now.Before(t.retained.until[Hosts]) {
		return hosts
	}
	for name, record := range t.hosts {
		if record.Changed.Epoch() < epoch {
			hosts[name] = record
		}
	}
	return hosts
}

// expireRetained ends retentions and reports whether the state has changed.
func (t *Tracker) expireRetained(now time.Time) bool {
	changed := false
	if len(t.retained.out) > 0 && !now.Before(t.retained.until[Evacuations]) {
		before := t.dataCentresOut()
		t.retained.out = nil
		t.addEvacuationChanges(before, t.dataCentresOut(), 0)
		changed = true
	}
	if len(t.retained.servers) > 0 && !now.Before(t.retained.until[Servers]) {
		held := t.retained.servers
		t.retained.servers = nil
		for _, name := range slices.Sorted(maps.Keys(held)) {
			t.applyServer(now, held[name])
		}
		changed = true
	}
	if until := t.retained.until[Hosts]; !until.IsZero() && !now.Before(until) {
		t.retained.until[Hosts] = time.Time{}
		epoch, count := t.versions[Hosts].Epoch(), len(t.hosts)
		maps.DeleteFunc(t.hosts, func(_ string, r Record) bool { return r.Changed.Epoch() < epoch })
		changed = changed || len(t.hosts) < count
	}
	return changed
}

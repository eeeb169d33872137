package catalogue

import "time"

// trackedServer is a server and the state of its record.
type trackedServer struct {
	server    *Server
	heartbeat uint64
	// lapsedAt is when the record was removed; zero while it exists.
	lapsedAt time.Time
}

// removedServer is a server whose record has expired.
type removedServer struct {
	at     time.Time
	server *Server
}

func (t *Tracker) applyServers(now time.Time, update Update, restored bool) bool {
	if t.servers == nil {
		t.servers = make(map[string]*trackedServer)
		t.removed = make(map[Cookie]removedServer)
	}
	changed := update.Full
	if update.Full {
		t.removals.base = max(t.removals.base, update.Version) // a full update does not name the servers removed before it
		t.markMissing(now, update.Records, update.Version)
	}
	for _, record := range t.holdRemovedServers(update, restored) {
		changed = t.applyServer(now, record) || changed
	}
	return changed
}

// markMissing marks the servers that a full update does not contain as lapsed.
func (t *Tracker) markMissing(now time.Time, records []Record, version Version) {
	present := make(map[string]bool, len(records))
	for _, record := range records {
		present[record.Name] = true
	}
	for name, tracked := range t.servers {
		if !present[name] && tracked.lapsedAt.IsZero() {
			t.markLapsed(now, name, tracked, version)
		}
	}
}

func (t *Tracker) applyServer(now time.Time, record Record) bool {
	tracked := t.servers[record.Name]
	if tracked != nil && record.Changed < tracked.server.Changed {
		return false
	}
	if record.Removed {
		if tracked == nil || !tracked.lapsedAt.IsZero() {
			t.removals.add(record.Name, t.versions[Servers]) // a peer that this host feeds may still have it
			return false
		}
		t.markLapsed(now, record.Name, tracked, record.Changed)
		return true
	}
	if record.Server == nil {
		return t.applyUnreadable(tracked, record)
	}
	server := *record.Server
	server.WarmAt = now.Add(min(max(0, server.WarmupRemaining), MaxWarmup))
	heartbeat := record.Heartbeat
	if tracked != nil && tracked.isNewerAcrossEpochs(record) {
		if server.Draining != tracked.server.Draining {
			t.addServerChange(ServerOutdated, &server, server.Changed)
		}
		server, heartbeat = *tracked.server, tracked.heartbeat
		server.Changed = record.Changed
	}
	t.addRecordChange(tracked, &server)
	t.servers[record.Name] = &trackedServer{server: &server, heartbeat: heartbeat}
	delete(t.removed, CookieOf(server.ID))
	delete(t.removals.versions, record.Name)
	return true
}

// markLapsed records that the record of a server was removed.
func (t *Tracker) markLapsed(now time.Time, name string, tracked *trackedServer, version Version) {
	tracked.lapsedAt = now
	t.hasLapsed = true
	t.removals.add(name, t.versions[Servers])
	t.addServerChange(ServerLapsed, tracked.server, version)
}

func (t *Tracker) addServerChange(kind ChangeKind, server *Server, version Version) {
	t.addChange(Change{Kind: kind, Name: string(server.ID), Cookie: CookieOf(server.ID), Version: version})
}

// addRecordChange adds the change, if any, that a new record of a server makes.
func (t *Tracker) addRecordChange(tracked *trackedServer, server *Server) {
	switch {
	case tracked == nil || !tracked.lapsedAt.IsZero():
		t.addServerChange(ServerAdded, server, server.Changed)
	case tracked.server.Started != server.Started:
		t.addServerChange(ServerRestarted, server, server.Changed)
	case server.Draining && !tracked.server.Draining:
		t.addServerChange(ServerDraining, server, server.Changed)
	}
}

// applyUnreadable excludes a server with an unreadable record from placement. Its flows
// stay, because the record does not prove that the server has ended.
func (t *Tracker) applyUnreadable(tracked *trackedServer, record Record) bool {
	if record.Fault != "" {
		t.addChange(Change{Kind: ServerUnreadable, Name: record.Name, Version: record.Changed, Fault: record.Fault})
	}
	if tracked == nil {
		return false
	}
	server := *tracked.server
	server.Draining = true
	server.Changed = record.Changed
	t.servers[record.Name] = &trackedServer{server: &server, heartbeat: tracked.heartbeat}
	return true
}

// startGrace starts the grace period of lapsed servers if the store has recovered from an outage.
// A host whose own state was out of date for as long has no evidence of an outage: then lapsed
// servers get no new flows, but keep those that they have.
func (t *Tracker) startGrace(now time.Time, update Update) {
	if update.Source != Servers {
		return
	}
	if until := now.Add(min(update.Grace, RecoveryGrace)); until.After(t.graceUntil) {
		t.graceUntil = until
	}
	if update.Grace > 0 {
		t.expectRewrites(Servers, t.graceUntil)
	}
	if last := t.confirmed[Servers]; !last.IsZero() && now.Sub(last) > OutageThreshold {
		t.keepUntil = now.Add(RecoveryGrace)
		t.expectRewrites(Servers, t.keepUntil)
	}
}

// Grace returns how much longer servers without records stay in use after an outage of the store.
func (t *Tracker) Grace(now time.Time) time.Duration { return max(0, t.graceUntil.Sub(now)) }

// expireLapsed removes the servers whose records have lapsed, after the grace period if the
// store has just recovered.
func (t *Tracker) expireLapsed(now time.Time) bool {
	inUse := now.Before(t.graceUntil)
	changed := t.hasLapsed && inUse != t.lapsedInUse
	t.lapsedInUse = inUse
	if !t.hasLapsed || inUse || now.Before(t.keepUntil) {
		return changed
	}
	t.hasLapsed = false
	for name, tracked := range t.servers {
		if tracked.lapsedAt.IsZero() {
			continue
		}
		delete(t.servers, name)
		t.removed[CookieOf(tracked.server.ID)] = removedServer{now, tracked.server}
		t.addServerChange(ServerEnded, tracked.server, 0)
		changed = true
	}
	for cookie, server := range t.removed {
		if now.Sub(server.at) > removedRetention {
			delete(t.removed, cookie)
		}
	}
	return changed
}

// serverRecords returns the records of the servers that changed after a version; zero
// means all.
func (t *Tracker) serverRecords(now time.Time, after Version) []Record {
	var records []Record
	for name, tracked := range t.servers {
		if !tracked.lapsedAt.IsZero() || after > 0 && tracked.server.Changed <= after {
			continue
		}
		server := *tracked.server
		server.WarmupRemaining = max(0, server.WarmAt.Sub(now))
		records = append(records, Record{Name: name, Changed: server.Changed, Server: &server, Heartbeat: tracked.heartbeat})
	}
	for _, record := range t.retained.servers {
		if record.Changed > after {
			records = append(records, record)
		}
	}
	return records
}

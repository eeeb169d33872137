package catalogue

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Source is a kind of record in the platform's store.
type Source int

// The sources of a catalogue.
const (
	Configurations Source = iota
	Evacuations
	Servers
	// Hosts are the entry hosts, which find each other by these records.
	Hosts

	sourceCount
)

var sourceNames = [...]string{"configurations", "evacuations", "servers", "hosts"}

// String returns the name of the source in lower case.
func (s Source) String() string { return sourceNames[s] }

// SourceCount is the number of sources.
const SourceCount = int(sourceCount)

// Timing of a Tracker.
const (
	DefaultRecoveryGrace   = 2500 * time.Millisecond
	DefaultOutageThreshold = 2 * time.Second
	removedRetention       = 90 * time.Second
)

// Record is a record of a source, or its removal.
type Record struct {
	// Name is the record's name in the store.
	Name    string  `cbor:"name"`
	Changed Version `cbor:"changed"`
	Removed bool    `cbor:"removed,omitempty"`
	// One of these holds the content. None does if it could not be read, or if the
	// record is that of a data centre that is out of service.
	Configuration *Configuration `cbor:"configuration,omitempty"`
	Server        *Server        `cbor:"server,omitempty"`
	Host          *fleet.Host    `cbor:"host,omitempty"`
	// Heartbeat is the number of the heartbeat of Server that wrote the record, counted from
	// its start.
	Heartbeat uint64 `cbor:"heartbeat,omitempty"`
	// Fault is the reason why the content could not be read.
	Fault string `cbor:"fault,omitempty"`
}

// Update is the result of reading one source, from the store or from a peer.
type Update struct {
	Source Source `cbor:"source"`
	// Full means that Records holds all records of the source.
	Full    bool     `cbor:"whole,omitempty"`
	Records []Record `cbor:"records,omitempty"`
	// Version is the store's version that the records reflect.
	Version Version `cbor:"version"`
	// AsOf is the time at which the records were current.
	AsOf time.Time `cbor:"-"`
}

// Change is one change of a Tracker's state.
type Change struct {
	Kind ChangeKind
	// Name is the name of the server, the data centre or the configuration.
	Name string
	// Cookie is the cookie of the server.
	Cookie Cookie
	// Version is the store's version that made the change; zero for the expiry of a
	// lapsed record or of a retained state.
	Version Version
	// Number is the number of the configuration.
	Number uint64
	// Fault is the reason why a record could not be read.
	Fault string
}

// ChangeKind is the kind of a Change.
type ChangeKind int

// The kinds of changes.
const (
	ServerAdded ChangeKind = iota
	ServerRestarted
	ServerDraining
	ServerUnreadable
	// ServerOutdated is a record of a restored store that is older than the known one.
	ServerOutdated
	// ServerHeld is the record of a removed server, which returned with a restored store.
	ServerHeld
	ServerLapsed
	ServerEnded
	ConfigurationInForce
	ConfigurationUnreadable
	// ConfigurationIgnored is a configuration that is not newer than the one in force.
	ConfigurationIgnored
	DataCentreOut
	// DataCentreRetained is a data centre that stays out of service for some time although
	// a restored store does not say so.
	DataCentreRetained
	DataCentreIn
)

var changeKindNames = [...]string{
	"server_added", "server_restarted", "server_draining", "server_unreadable",
	"server_outdated", "server_held", "server_lapsed", "server_ended", "configuration_in_force", "configuration_unreadable",
	"configuration_ignored", "data_centre_out", "data_centre_retained", "data_centre_in",
}

// String returns the name of the kind in snake case.
func (k ChangeKind) String() string { return changeKindNames[k] }

// Tracker builds catalogues from the updates of the store's records. The zero value is
// ready to use.
type Tracker struct {
	// RecoveryGrace is how long servers whose records have lapsed during an outage of
	// the store are kept after its recovery. Zero means DefaultRecoveryGrace.
	RecoveryGrace time.Duration
	// OutageThreshold is how long the servers must have gone unconfirmed for the next
	// update of them to count as the store's recovery. Zero means
	// DefaultOutageThreshold.
	OutageThreshold time.Duration
	// RestorationGrace is how long a state that a restored store contradicts is kept, so
	// that its writer can write it again. Zero means DefaultRestorationGrace.
	RestorationGrace time.Duration

	// stale means that current is out of date.
	stale      bool
	current    *Catalogue
	changes    []Change
	number     uint64
	versions   [sourceCount]Version
	confirmed  [sourceCount]time.Time
	listed     [sourceCount]bool
	graceUntil time.Time
	retained   retainedState
	// hasLapsed means that the record of some server has lapsed.
	hasLapsed bool

	configuration        *Configuration
	configurationVersion Version
	evacuated            map[fleet.DataCentreID]bool
	servers              map[string]*trackedServer
	removed              map[Cookie]removedServer
	removals             removalLog
	hosts                map[string]Record
}

// removedServer is a server whose record has expired.
type removedServer struct {
	at      time.Time
	started int64
}

// trackedServer is a server and the state of its record.
type trackedServer struct {
	server    *Server
	heartbeat uint64
	// lapsedAt is when the record was removed; zero while it exists.
	lapsedAt time.Time
}

// Current returns the catalogue of the current state, or nil while there is none. After
// a change it takes time in proportion to the number of servers.
func (t *Tracker) Current() *Catalogue {
	if t.stale {
		t.build()
		t.stale = false
	}
	return t.current
}

// Version returns the store's version that the records of a source reflect.
func (t *Tracker) Version(s Source) Version { return t.versions[s] }

// ConfirmedAt returns the last time at which the records of a source were known to be
// current.
func (t *Tracker) ConfirmedAt(s Source) time.Time { return t.confirmed[s] }

// Listed reports whether all records of a source have been read.
func (t *Tracker) Listed(s Source) bool { return t.listed[s] }

// Apply applies an update and reports whether the catalogue has changed. An update older
// than the known version is ignored, and so are changes to records that are not known yet.
func (t *Tracker) Apply(now time.Time, update Update) bool {
	known := t.versions[update.Source]
	restored := known != 0 && update.Version.Epoch() > known.Epoch()
	recordsUnknown := restored || !t.listed[update.Source]
	if update.Version < known || update.Version > known && recordsUnknown && !update.Full {
		return false
	}
	t.startGraceAfterOutage(now, update)
	if restored {
		t.startRestorationGrace(now, update.Source)
	}
	t.versions[update.Source] = update.Version
	if update.AsOf.After(t.confirmed[update.Source]) {
		t.confirmed[update.Source] = update.AsOf
	}
	t.listed[update.Source] = t.listed[update.Source] || update.Full
	changed := t.applySource(now, update, restored)
	changed = t.expire(now) || changed
	t.stale = t.stale || changed
	return changed
}

// Changes returns the changes since the last call.
func (t *Tracker) Changes() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

func (t *Tracker) addChange(c Change) { t.changes = append(t.changes, c) }

// Tick removes expired servers and reports whether the catalogue has changed.
func (t *Tracker) Tick(now time.Time) bool {
	expired := t.expire(now)
	t.stale = t.stale || expired
	return expired
}

// startGraceAfterOutage starts the grace period of lapsed servers when the store has
// recovered from an outage.
func (t *Tracker) startGraceAfterOutage(now time.Time, update Update) {
	last := t.confirmed[Servers]
	if update.Source != Servers || last.IsZero() {
		return
	}
	if now.Sub(last) > orDefault(t.OutageThreshold, DefaultOutageThreshold) {
		t.graceUntil = now.Add(orDefault(t.RecoveryGrace, DefaultRecoveryGrace))
	}
}

// applySource applies an update; restored means that it is the first of its epoch.
func (t *Tracker) applySource(now time.Time, update Update, restored bool) bool {
	switch update.Source {
	case Configurations:
		return t.applyConfigurations(update)
	case Evacuations:
		return t.applyEvacuations(update, restored)
	case Servers:
		return t.applyServers(now, update, restored)
	case Hosts:
		return t.applyHosts(now, update)
	}
	return false
}

func (t *Tracker) applyConfigurations(update Update) bool {
	changed := false
	for _, record := range update.Records {
		if record.Fault != "" {
			t.addChange(Change{Kind: ConfigurationUnreadable, Name: record.Name, Version: record.Changed, Fault: record.Fault})
		}
		if record.Configuration == nil {
			continue
		}
		if !t.supersedesConfiguration(record) {
			t.addIgnoredConfiguration(record)
			continue
		}
		t.configuration = record.Configuration
		t.configurationVersion = record.Changed
		t.addChange(Change{Kind: ConfigurationInForce, Name: record.Name, Version: record.Changed, Number: t.configuration.Number})
		changed = true
	}
	return changed
}

// supersedesConfiguration reports whether the configuration of a record replaces the one in
// force. A restored store may hold an earlier one, so the operators' numbers decide between
// two of different epochs.
func (t *Tracker) supersedesConfiguration(record Record) bool {
	if t.configuration != nil && record.Changed.Epoch() != t.configurationVersion.Epoch() {
		return record.Configuration.Number >= t.configuration.Number
	}
	return record.Changed > t.configurationVersion
}

// addIgnoredConfiguration adds a change for a configuration that is ignored, unless it is
// the one in force.
func (t *Tracker) addIgnoredConfiguration(record Record) {
	if record.Configuration.Number != t.configuration.Number {
		t.addChange(Change{Kind: ConfigurationIgnored, Name: record.Name, Version: record.Changed, Number: record.Configuration.Number})
	}
}

func (t *Tracker) applyEvacuations(update Update, restored bool) bool {
	before := t.dataCentresOut()
	next := maps.Clone(t.evacuated)
	if update.Full || next == nil {
		next = make(map[fleet.DataCentreID]bool)
	}
	for _, record := range update.Records {
		if record.Removed {
			delete(next, fleet.DataCentreID(record.Name))
		} else {
			next[fleet.DataCentreID(record.Name)] = true
		}
		delete(t.retained.out, fleet.DataCentreID(record.Name))
	}
	if restored {
		t.retainEvacuations(next, update.Version)
	}
	t.evacuated = next
	after := t.dataCentresOut()
	t.addEvacuationChanges(before, after, update.Version)
	return !maps.Equal(before, after) || update.Full
}

func (t *Tracker) addEvacuationChanges(before, after map[fleet.DataCentreID]bool, version Version) {
	for _, id := range slices.Sorted(maps.Keys(after)) {
		if !before[id] {
			t.addChange(Change{Kind: DataCentreOut, Name: string(id), Version: version})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(before)) {
		if !after[id] {
			t.addChange(Change{Kind: DataCentreIn, Name: string(id), Version: version})
		}
	}
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

func (t *Tracker) applyHosts(now time.Time, update Update) bool {
	if update.Full || t.hosts == nil {
		t.hosts = t.retainedHosts(now, update.Version.Epoch())
	}
	for _, record := range update.Records {
		if record.Removed || record.Host == nil {
			delete(t.hosts, record.Name)
		} else {
			t.hosts[record.Name] = record
		}
	}
	return update.Full || len(update.Records) > 0
}

// Snapshot returns all known records of a source as a full update, without those that are
// retained after a restoration of the store.
func (t *Tracker) Snapshot(now time.Time, source Source) Update {
	update := Update{Source: source, Full: true, Version: t.versions[source], AsOf: t.confirmed[source]}
	switch source {
	case Configurations:
		if t.configuration != nil {
			update.Records = []Record{{Name: "main", Changed: t.configurationVersion, Configuration: t.configuration}}
		}
	case Evacuations:
		for id := range t.evacuated {
			update.Records = append(update.Records, Record{Name: string(id), Changed: update.Version})
		}
	case Servers:
		update.Records = t.serverRecords(now, 0)
	case Hosts:
		for _, record := range t.hosts {
			if record.Changed.Epoch() == update.Version.Epoch() {
				update.Records = append(update.Records, record)
			}
		}
	}
	return update
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
	server.WarmAt = now.Add(server.WarmupRemaining)
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

// expire removes expired state.
func (t *Tracker) expire(now time.Time) bool {
	lapsed := t.expireLapsed(now)
	return t.expireRetained(now) || lapsed
}

// expireLapsed removes the servers whose records have lapsed, after the grace period if the
// store has just recovered.
func (t *Tracker) expireLapsed(now time.Time) bool {
	changed := false
	if !t.hasLapsed || now.Before(t.graceUntil) {
		return false
	}
	t.hasLapsed = false
	for name, tracked := range t.servers {
		if tracked.lapsedAt.IsZero() {
			continue
		}
		delete(t.servers, name)
		t.removed[CookieOf(tracked.server.ID)] = removedServer{now, tracked.server.Started}
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

// build builds the current catalogue.
func (t *Tracker) build() {
	t.number++
	next := &Catalogue{
		Number:            t.number,
		Configuration:     t.configuration,
		routes:            make(map[netip.AddrPort]*Route),
		removed:           make(map[Cookie]bool, len(t.removed)),
		pools:             make(map[fleet.ServiceName]*Pool),
		byDataCentre:      make(map[fleet.DataCentreID][]*Server),
		serverCount:       len(t.servers),
		evacuationsListed: t.listed[Evacuations],
		serversListed:     t.listed[Servers],
	}
	if t.configuration != nil {
		for i := range t.configuration.Routes {
			route := &t.configuration.Routes[i]
			next.routes[route.Address] = route
		}
	}
	servers := make([]*Server, 0, len(t.servers))
	for _, tracked := range t.servers {
		server := *tracked.server
		servers = append(servers, &server)
	}
	next.hostVersions = make(map[fleet.HostID]Version, len(t.hosts))
	for _, record := range t.hosts {
		if record.Changed.Epoch() == t.versions[Hosts].Epoch() {
			next.hostVersions[record.Host.ID] = record.Changed
		}
		next.hosts = append(next.hosts, *record.Host)
		next.hostIDs = append(next.hostIDs, record.Host.ID)
	}
	next.servers = assignCookies(servers)
	for _, server := range servers {
		if server.Cookie == 0 {
			continue
		}
		next.byDataCentre[server.DataCentre] = append(next.byDataCentre[server.DataCentre], server)
		if !server.Draining && !t.isOut(server.DataCentre) {
			next.addToPool(server)
		}
	}
	for cookie := range t.removed {
		next.removed[cookie] = next.servers[cookie] == nil
	}
	t.current = next
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

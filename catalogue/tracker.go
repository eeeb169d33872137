package catalogue

import (
	"net/netip"
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
	// RecoveryGrace is how long servers whose records have lapsed during an outage of the store
	// are kept after its recovery.
	RecoveryGrace = 2500 * time.Millisecond
	// OutageThreshold is the length of an outage of the store after which records may have
	// lapsed.
	OutageThreshold  = 2 * time.Second
	removedRetention = 90 * time.Second
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
	// Grace is how much longer servers without records stay in use: the store has recovered
	// from an outage, in which live servers could not renew them.
	Grace time.Duration `cbor:"grace,omitempty"`
	// AsOf is the time at which the records were current; zero if it is unknown.
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
	// RestorationGrace is how long a state that a restored store contradicts is kept, so
	// that its writer can write it again. Zero means DefaultRestorationGrace.
	RestorationGrace time.Duration

	// stale means that current is out of date.
	stale     bool
	current   *Catalogue
	changes   []Change
	number    uint64
	versions  [sourceCount]Version
	confirmed [sourceCount]time.Time
	listed    [sourceCount]bool
	// rewrites holds the periods in which the store may lack records.
	rewrites [sourceCount]rewritePeriod
	// graceUntil is how long servers whose records have lapsed stay in use, and keepUntil how
	// long their flows are kept.
	graceUntil, keepUntil time.Time
	// lapsedInUse means that graceUntil has not passed.
	lapsedInUse bool
	retained    retainedState
	// hasLapsed means that the record of some server has lapsed.
	hasLapsed bool

	configuration        *Configuration
	configurationVersion Version
	// configurationStored means that the store holds the configuration in force. Otherwise it was
	// removed, can't be read or is older, and a host that reads the store does not know it.
	configurationStored bool
	evacuated           map[fleet.DataCentreID]bool
	servers             map[string]*trackedServer
	removed             map[Cookie]removedServer
	removals            removalLog
	hosts               map[string]Record
	hostRemovals        removalLog
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

// CompleteAt returns the last time at which a source was known to have no other records than the known ones. Unlike
// ConfirmedAt, it excludes the time after an outage or a restoration of the store, in which lost records are written again.
func (t *Tracker) CompleteAt(s Source) time.Time {
	if t.confirmed[s].Before(t.rewrites[s].until) {
		return t.rewrites[s].completeAt
	}
	return t.confirmed[s]
}

// rewritePeriod is a time in which writers write records again that the store has lost.
type rewritePeriod struct {
	until time.Time
	// completeAt is when the source was last complete before.
	completeAt time.Time
}

// expectRewrites records that the store may lack records of a source until a time.
func (t *Tracker) expectRewrites(s Source, until time.Time) {
	if until.After(t.rewrites[s].until) {
		t.rewrites[s] = rewritePeriod{until: until, completeAt: t.CompleteAt(s)}
	}
}

// Listed reports whether all records of a source have been read.
func (t *Tracker) Listed(s Source) bool { return t.listed[s] }

// Apply applies an update and reports whether the catalogue has changed. An update older
// than the known version is ignored, and so are changes to records that are not known yet. A time of
// confirmation that is impossible (see [CheckConfirmation]) is not used; the records are, as the updates
// that follow contain only the changes since.
func (t *Tracker) Apply(now time.Time, update Update) bool {
	known := t.versions[update.Source]
	restored := known != 0 && update.Version.Epoch() > known.Epoch()
	recordsUnknown := restored || !t.listed[update.Source]
	if update.Version < known || update.Version > known && recordsUnknown && !update.Full {
		return false
	}
	t.startGrace(now, update)
	if restored {
		t.startRestorationGrace(now, update.Source)
	}
	t.versions[update.Source] = update.Version
	if update.AsOf.After(t.confirmed[update.Source]) && CheckConfirmation(now, update.AsOf) == nil {
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

func (t *Tracker) applyHosts(now time.Time, update Update) bool {
	if update.Full || t.hosts == nil {
		t.hosts = t.retainedHosts(now, update.Version.Epoch())
		t.hostRemovals.base = max(t.hostRemovals.base, update.Version) // as for the servers
	}
	for _, record := range update.Records {
		if record.Removed || record.Host == nil {
			delete(t.hosts, record.Name)
			t.hostRemovals.add(record.Name, update.Version)
		} else {
			t.hosts[record.Name] = record
			delete(t.hostRemovals.versions, record.Name)
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
			if !t.configurationStored { // hosts that follow the receiver may lack it
				update.Records = append(update.Records, Record{Name: "main", Changed: update.Version, Removed: true})
			}
		}
	case Evacuations:
		for id := range t.evacuated {
			update.Records = append(update.Records, Record{Name: string(id), Changed: update.Version})
		}
	case Servers:
		update.Records, update.Grace = t.serverRecords(now, 0), t.Grace(now)
	case Hosts:
		update.Records = t.hostRecords(0)
	}
	return update
}

// expire removes expired state.
func (t *Tracker) expire(now time.Time) bool {
	lapsed := t.expireLapsed(now)
	return t.expireRetained(now) || lapsed
}

// build builds the current catalogue.
func (t *Tracker) build() {
	t.number++
	next := &Catalogue{
		Number:            t.number,
		Configuration:     t.configuration,
		routes:            make(map[netip.AddrPort]*Route),
		removed:           make(map[Cookie]*Server, len(t.removed)),
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
		server.Draining = server.Draining || !tracked.lapsedAt.IsZero() && !t.lapsedInUse
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
	for cookie, removed := range t.removed {
		if next.servers[cookie] == nil {
			server := *removed.server
			server.Cookie = cookie
			next.removed[cookie] = &server
		}
	}
	t.current = next
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

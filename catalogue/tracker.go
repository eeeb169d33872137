package catalogue

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Source is one kind of record in the platform's store.
type Source int

// The sources of a catalogue.
const (
	Configurations Source = iota
	Evacuations
	Servers
	// Hosts are the entry hosts, by which they find each other.
	Hosts

	sourceCount
)

var sourceNames = [...]string{"configurations", "evacuations", "servers", "hosts"}

// String returns the name of the source in lower case.
func (s Source) String() string { return sourceNames[s] }

// SourceCount is how many sources there are.
const SourceCount = int(sourceCount)

// Defaults of a Tracker.
const (
	DefaultReturnGrace = 2500 * time.Millisecond
	DefaultOutage      = 2 * time.Second
	goneKept           = 90 * time.Second
)

// Record is one record of a source, or the news that it was removed.
type Record struct {
	// Name is the record's name in the store.
	Name    string  `cbor:"name"`
	Changed Version `cbor:"changed"`
	Removed bool    `cbor:"removed,omitempty"`
	// One of these holds the content, unless it could not be read or the
	// record is that of a data centre that is taken out.
	Configuration *Configuration `cbor:"configuration,omitempty"`
	Server        *Server        `cbor:"server,omitempty"`
	Host          *fleet.Host    `cbor:"host,omitempty"`
	// Fault says why the content could not be read.
	Fault string `cbor:"fault,omitempty"`
}

// Answer is what the store said of one source.
type Answer struct {
	Source Source `cbor:"source"`
	// Whole means that Records are all the records there are.
	Whole   bool     `cbor:"whole,omitempty"`
	Records []Record `cbor:"records,omitempty"`
	// Version is the store's revision of the answer.
	Version Version `cbor:"version"`
	// Asked is the time at which the answer held.
	Asked time.Time `cbor:"-"`
}

// Change is one thing that a Tracker believes since an answer.
type Change struct {
	Kind ChangeKind
	// Name is that of the server, the data centre or the configuration.
	Name string
	// Cookie is that of the server.
	Cookie Cookie
	// Version is the store's revision that brought the change; zero if time did.
	Version Version
	// Number is that of the configuration.
	Number uint64
	// Fault says why a record could not be read.
	Fault string
}

// ChangeKind says what has changed.
type ChangeKind int

// The kinds of changes.
const (
	ServerAdded ChangeKind = iota
	ServerRestarted
	ServerDraining
	ServerUnreadable
	ServerLapsed
	ServerEnded
	ConfigurationInForce
	ConfigurationUnreadable
	DataCentreOut
	DataCentreIn
)

var changeNames = [...]string{
	"server_added", "server_restarted", "server_draining", "server_unreadable", "server_lapsed",
	"server_ended", "configuration_in_force", "configuration_unreadable", "data_centre_out", "data_centre_in",
}

// String returns the name of the kind in snake case.
func (k ChangeKind) String() string { return changeNames[k] }

// Tracker makes catalogues from the store's answers. The zero value is ready
// for use.
type Tracker struct {
	// ReturnGrace is how long servers whose records have lapsed during an
	// outage of the store are kept after its return. Zero means DefaultReturnGrace.
	ReturnGrace time.Duration
	// Outage is how long a source must have been silent for its return to
	// count as that of the store. Zero means DefaultOutage.
	Outage time.Duration

	// changed says that current is out of date.
	changed    bool
	current    *Catalogue
	changes    []Change
	number     uint64
	versions   [sourceCount]Version
	confirmed  [sourceCount]time.Time
	listed     [sourceCount]bool
	graceUntil time.Time
	// lapsed says that some server's record has lapsed.
	lapsed bool

	configuration        *Configuration
	configurationVersion Version
	evacuated            map[fleet.DataCentreID]bool
	servers              map[string]*tracked
	gone                 map[Cookie]time.Time
	removed              removals
	hosts                map[string]Record
}

// tracked is a server and what became of its record.
type tracked struct {
	server *Server
	// lapsed is when the record went away; zero while it is there.
	lapsed time.Time
}

// Current returns the catalogue of what is known, or nil before anything is. It
// costs time in proportion to the number of servers after a change.
func (t *Tracker) Current() *Catalogue {
	if t.changed {
		t.build()
		t.changed = false
	}
	return t.current
}

// Version returns the store's revision up to which a source is known.
func (t *Tracker) Version(s Source) Version { return t.versions[s] }

// Confirmed returns when a source was last known to be as it is.
func (t *Tracker) Confirmed(s Source) time.Time { return t.confirmed[s] }

// Known reports whether a source has been read in whole.
func (t *Tracker) Known(s Source) bool { return t.listed[s] }

// Take takes in an answer of the store and reports whether the catalogue has
// changed. An answer older than what is known changes nothing.
func (t *Tracker) Take(now time.Time, a Answer) bool {
	if a.Version < t.versions[a.Source] {
		return false
	}
	t.noteReturn(now, a)
	t.versions[a.Source] = a.Version
	if a.Asked.After(t.confirmed[a.Source]) {
		t.confirmed[a.Source] = a.Asked
	}
	t.listed[a.Source] = t.listed[a.Source] || a.Whole
	changed := t.apply(now, a)
	changed = t.expire(now) || changed
	t.changed = t.changed || changed
	return changed
}

// Changes returns what has changed since the last call.
func (t *Tracker) Changes() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

func (t *Tracker) note(c Change) { t.changes = append(t.changes, c) }

// Tick removes what has expired and reports whether the catalogue has changed.
func (t *Tracker) Tick(now time.Time) bool {
	expired := t.expire(now)
	t.changed = t.changed || expired
	return expired
}

// noteReturn starts the grace for lapsed records when the store is back.
func (t *Tracker) noteReturn(now time.Time, a Answer) {
	last := t.confirmed[Servers]
	if a.Source != Servers || last.IsZero() {
		return
	}
	if now.Sub(last) > or(t.Outage, DefaultOutage) {
		t.graceUntil = now.Add(or(t.ReturnGrace, DefaultReturnGrace))
	}
}

func (t *Tracker) apply(now time.Time, a Answer) bool {
	switch a.Source {
	case Configurations:
		return t.applyConfigurations(a)
	case Evacuations:
		return t.applyEvacuations(a)
	case Servers:
		return t.applyServers(now, a)
	case Hosts:
		return t.applyHosts(a)
	}
	return false
}

func (t *Tracker) applyConfigurations(a Answer) bool {
	changed := false
	for _, record := range a.Records {
		if record.Fault != "" {
			t.note(Change{Kind: ConfigurationUnreadable, Name: record.Name, Version: record.Changed, Fault: record.Fault})
		}
		if record.Configuration == nil || record.Changed <= t.configurationVersion {
			continue
		}
		t.configuration = record.Configuration
		t.configurationVersion = record.Changed
		t.note(Change{Kind: ConfigurationInForce, Name: record.Name, Version: record.Changed, Number: t.configuration.Number})
		changed = true
	}
	return changed
}

func (t *Tracker) applyEvacuations(a Answer) bool {
	next := maps.Clone(t.evacuated)
	if a.Whole || next == nil {
		next = make(map[fleet.DataCentreID]bool)
	}
	for _, record := range a.Records {
		if record.Removed {
			delete(next, fleet.DataCentreID(record.Name))
		} else {
			next[fleet.DataCentreID(record.Name)] = true
		}
	}
	t.noteEvacuations(next, a.Version)
	changed := !maps.Equal(next, t.evacuated)
	t.evacuated = next
	return changed || a.Whole
}

func (t *Tracker) noteEvacuations(next map[fleet.DataCentreID]bool, version Version) {
	for _, id := range slices.Sorted(maps.Keys(next)) {
		if !t.evacuated[id] {
			t.note(Change{Kind: DataCentreOut, Name: string(id), Version: version})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(t.evacuated)) {
		if !next[id] {
			t.note(Change{Kind: DataCentreIn, Name: string(id), Version: version})
		}
	}
}

func (t *Tracker) applyServers(now time.Time, a Answer) bool {
	if t.servers == nil {
		t.servers = make(map[string]*tracked)
		t.gone = make(map[Cookie]time.Time)
	}
	changed := a.Whole
	if a.Whole {
		t.removed.base = max(t.removed.base, a.Version) // it doesn't name those removed before
		t.lapseMissing(now, a.Records, a.Version)
	}
	for _, record := range a.Records {
		changed = t.applyServer(now, record) || changed
	}
	return changed
}

func (t *Tracker) applyHosts(a Answer) bool {
	if a.Whole || t.hosts == nil {
		t.hosts = make(map[string]Record)
	}
	for _, record := range a.Records {
		if record.Removed || record.Host == nil {
			delete(t.hosts, record.Name)
		} else {
			t.hosts[record.Name] = record
		}
	}
	return a.Whole || len(a.Records) > 0
}

// Whole returns all that is known of a source, as an answer of the store.
func (t *Tracker) Whole(now time.Time, source Source) Answer {
	a := Answer{Source: source, Whole: true, Version: t.versions[source], Asked: t.confirmed[source]}
	switch source {
	case Configurations:
		if t.configuration != nil {
			a.Records = []Record{{Name: "main", Changed: t.configurationVersion, Configuration: t.configuration}}
		}
	case Evacuations:
		for id := range t.evacuated {
			a.Records = append(a.Records, Record{Name: string(id), Changed: a.Version})
		}
	case Servers:
		a.Records = t.serverRecords(now, 0)
	case Hosts:
		a.Records = slices.Collect(maps.Values(t.hosts))
	}
	return a
}

// serverRecords returns the records that have changed after a version; zero means all.
func (t *Tracker) serverRecords(now time.Time, after Version) []Record {
	var records []Record
	for name, held := range t.servers {
		if !held.lapsed.IsZero() || after > 0 && held.server.Changed <= after {
			continue
		}
		server := *held.server
		server.Cold = max(0, server.WarmAt.Sub(now))
		records = append(records, Record{Name: name, Changed: server.Changed, Server: &server})
	}
	return records
}

// lapseMissing marks the servers that a whole answer does not name.
func (t *Tracker) lapseMissing(now time.Time, records []Record, version Version) {
	present := make(map[string]bool, len(records))
	for _, record := range records {
		present[record.Name] = true
	}
	for name, held := range t.servers {
		if !present[name] && held.lapsed.IsZero() {
			t.lapse(now, name, held, version)
		}
	}
}

func (t *Tracker) applyServer(now time.Time, record Record) bool {
	held := t.servers[record.Name]
	if held != nil && record.Changed < held.server.Changed {
		return false
	}
	if record.Removed {
		if held == nil || !held.lapsed.IsZero() {
			t.removed.add(record.Name, t.versions[Servers]) // a host that learns from this one may know it
			return false
		}
		t.lapse(now, record.Name, held, record.Changed)
		return true
	}
	if record.Server == nil {
		return t.applyUnreadable(held, record)
	}
	server := *record.Server
	server.WarmAt = now.Add(server.Cold)
	t.noteServer(held, &server)
	t.servers[record.Name] = &tracked{server: &server}
	delete(t.gone, CookieOf(server.ID))
	delete(t.removed.at, record.Name)
	return true
}

// lapse notes that the record of a server is no longer there.
func (t *Tracker) lapse(now time.Time, name string, held *tracked, version Version) {
	held.lapsed = now
	t.lapsed = true
	t.removed.add(name, t.versions[Servers])
	t.noteAbout(ServerLapsed, held.server, version)
}

func (t *Tracker) noteAbout(kind ChangeKind, server *Server, version Version) {
	t.note(Change{Kind: kind, Name: string(server.ID), Cookie: CookieOf(server.ID), Version: version})
}

// noteServer notes what a new record of a server changes.
func (t *Tracker) noteServer(held *tracked, server *Server) {
	switch {
	case held == nil || !held.lapsed.IsZero():
		t.noteAbout(ServerAdded, server, server.Changed)
	case held.server.Started != server.Started:
		t.noteAbout(ServerRestarted, server, server.Changed)
	case server.Draining && !held.server.Draining:
		t.noteAbout(ServerDraining, server, server.Changed)
	}
}

// applyUnreadable takes a server with an unreadable record out of placement. Its
// flows stay, as the record does not prove that the server has ended.
func (t *Tracker) applyUnreadable(held *tracked, record Record) bool {
	if record.Fault != "" {
		t.note(Change{Kind: ServerUnreadable, Name: record.Name, Version: record.Changed, Fault: record.Fault})
	}
	if held == nil {
		return false
	}
	server := *held.server
	server.Draining = true
	server.Changed = record.Changed
	t.servers[record.Name] = &tracked{server: &server}
	return true
}

// expire removes the servers whose records have lapsed, after the grace if
// the store has just returned.
func (t *Tracker) expire(now time.Time) bool {
	changed := false
	if !t.lapsed || now.Before(t.graceUntil) {
		return false
	}
	t.lapsed = false
	for name, held := range t.servers {
		if held.lapsed.IsZero() {
			continue
		}
		delete(t.servers, name)
		t.gone[CookieOf(held.server.ID)] = now
		t.noteAbout(ServerEnded, held.server, 0)
		changed = true
	}
	for cookie, since := range t.gone {
		if now.Sub(since) > goneKept {
			delete(t.gone, cookie)
		}
	}
	return changed
}

// build makes a new catalogue.
func (t *Tracker) build() {
	t.number++
	c := &Catalogue{
		Number:        t.number,
		Configuration: t.configuration,
		routes:        make(map[netip.AddrPort]*Route),
		gone:          make(map[Cookie]bool, len(t.gone)),
		pools:         make(map[fleet.ServiceName]*Pool),
		places:        make(map[fleet.DataCentreID][]*Server),
		count:         len(t.servers),
		evacuations:   t.listed[Evacuations],
		whole:         t.listed[Servers],
	}
	if t.configuration != nil {
		for i := range t.configuration.Routes {
			route := &t.configuration.Routes[i]
			c.routes[route.Address] = route
		}
	}
	servers := make([]*Server, 0, len(t.servers))
	for _, held := range t.servers {
		server := *held.server
		servers = append(servers, &server)
	}
	c.changed = make(map[fleet.HostID]Version, len(t.hosts))
	for _, record := range t.hosts {
		c.changed[record.Host.ID] = record.Changed
		c.hosts = append(c.hosts, *record.Host)
		c.hostIDs = append(c.hostIDs, record.Host.ID)
	}
	c.servers = uniqueCookies(servers)
	for _, server := range servers {
		if server.Cookie == 0 {
			continue
		}
		c.places[server.DataCentre] = append(c.places[server.DataCentre], server)
		if !server.Draining && !t.evacuated[server.DataCentre] {
			c.add(server)
		}
	}
	for cookie := range t.gone {
		c.gone[cookie] = c.servers[cookie] == nil
	}
	t.current = c
}

func or(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

package load

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/declaration"
	"github.com/rattanthread/rattanthread/fleet"
)

const (
	// ShortUtilisation is the utilisation over which a service is listed as short in a data
	// centre. It is the one under which spillover to a data centre may begin.
	ShortUtilisation = 0.7
	// MaxShortServices bounds the services in a message. With names of 10 bytes they take less
	// than 1.5 KB.
	MaxShortServices = 64
	// MaxAdmittedFractions bounds the admitted fractions in a message: 32 of them take at most 2.3 KB
	// with names of 63 bytes, so that a message stays below the 8 KiB that hosts of the earlier
	// version accept.
	MaxAdmittedFractions = 32
	// AdmittedUnit is the number of units of AdmittedFraction.Fraction that stand for all flows.
	AdmittedUnit = 255
	// elsewhereExpiry is how long an entry counts without a newer one: two lost messages at the
	// interval of 400 ms.
	elsewhereExpiry = time.Second
	// maxElsewhereAge bounds the age of an entry at the end of the tree of feeds: 400 ms until
	// the next message, and for each of two hops up to 750 ms, the longest interval of reports.
	maxElsewhereAge = 2 * time.Second
	// maxElsewhereDataCentres bounds the data centres in a report and in a Tracker.
	maxElsewhereDataCentres = 32
	// maxUtilisationSum bounds the sums over the servers of a service: 16,384 servers with 64
	// requests each.
	maxUtilisationSum = 1 << 20
)

// ServiceUtilisation is the load of a service in one data centre.
type ServiceUtilisation struct {
	_ struct{} `cbor:",toarray"`

	Service fleet.ServiceName
	// InFlight is the number of requests in flight.
	InFlight uint32
	// Limit is the sum of the limits of the servers, zero if none accepts flows.
	Limit uint32
}

// Ratio returns the utilisation. That of a service without servers that accept flows is 1.
func (u *ServiceUtilisation) Ratio() float64 {
	if u.Limit == 0 {
		return 1
	}
	return float64(u.InFlight) / float64(u.Limit)
}

// AdmittedFraction is the fraction of the new flows of a priority that a data centre admits to its
// servers of a service.
type AdmittedFraction struct {
	_ struct{} `cbor:",toarray"`

	Service  fleet.ServiceName
	Priority uint32
	// Fraction is in units of 1/AdmittedUnit, more than 0 and less than AdmittedUnit.
	Fraction uint32
}

// NewAdmittedFraction returns the entry of a fraction below 1, which it rounds to units.
func NewAdmittedFraction(service fleet.ServiceName, priority catalogue.Priority, fraction float64) AdmittedFraction {
	units := math.Round(fraction * AdmittedUnit)
	return AdmittedFraction{
		Service: service, Priority: uint32(boundPriority(int(priority))), Fraction: uint32(min(max(1, units), AdmittedUnit-1)),
	}
}

// Ratio returns the fraction, between 0 and 1.
func (a *AdmittedFraction) Ratio() float64 { return float64(a.Fraction) / AdmittedUnit }

// DataCentreLoads is what a data centre reports to the others: the services that are short there, and
// which part of their new flows it admits.
type DataCentreLoads struct {
	// Short are the services with a utilisation over ShortUtilisation, the highest first. The
	// others have free capacity.
	Short []ServiceUtilisation `cbor:"short,omitempty"`
	// More means that further services are short, so that nothing is known about those that
	// are not in Short.
	More bool `cbor:"more,omitempty"`
	// Admitted are the admitted fractions below 1, the lowest first. Hosts of an earlier version
	// ignore them.
	Admitted []AdmittedFraction `cbor:"admitted,omitempty"`
	// MoreAdmitted means that further fractions are below 1, so that nothing is known about those
	// that are not in Admitted.
	MoreAdmitted bool `cbor:"more_admitted,omitempty"`
}

// DataCentreEntry is the latest message of a data centre, in a Report.
type DataCentreEntry struct {
	DataCentre fleet.DataCentreID `cbor:"data_centre"`
	// Age is the time since the message arrived in the data centre that the report comes from.
	Age time.Duration `cbor:"age"`
	DataCentreLoads
}

// DataCentreUtilisation is the load of a service in another data centre.
type DataCentreUtilisation struct {
	DataCentre fleet.DataCentreID
	// Utilisation holds the sums over the servers if the service is short.
	Utilisation
	// Free means that the utilisation is at most ShortUtilisation.
	Free bool
	// Known means that a recent message says whether the service is short.
	Known bool
}

// elsewhereState is the latest message of a data centre.
type elsewhereState struct {
	DataCentreLoads
	// sent is when the message arrived in this data centre, and received when it arrived at this host.
	sent, received time.Time
	// peer is the host whose report it was in, or empty.
	peer fleet.HostID
}

func (e *elsewhereState) expired(now time.Time) bool {
	return now.Sub(e.received) > elsewhereExpiry || now.Sub(e.sent) > maxElsewhereAge
}

// ReceiveElsewhere replaces the message of another data centre. It rejects one with numbers out of
// range.
func (t *Tracker) ReceiveElsewhere(now time.Time, dataCentre fleet.DataCentreID, message DataCentreLoads) error {
	entry := DataCentreEntry{DataCentre: dataCentre, DataCentreLoads: message}
	if err := entry.Check(); err != nil {
		return err
	}
	t.putElsewhere(now, "", entry)
	return nil
}

// putElsewhere stores an entry that is newer than the present one. One that is not renews nothing,
// so a message ends everywhere, also if hosts return it to each other.
func (t *Tracker) putElsewhere(now time.Time, peer fleet.HostID, entry DataCentreEntry) {
	t.expireElsewhere(now)
	sent := now.Add(-entry.Age)
	present, ok := t.elsewhere[entry.DataCentre]
	if ok && !sent.After(present.sent) || !ok && len(t.elsewhere) >= maxElsewhereDataCentres {
		return
	}
	if t.elsewhere == nil {
		t.elsewhere = make(map[fleet.DataCentreID]elsewhereState)
	}
	entry.Short, entry.Admitted = slices.Clone(entry.Short), slices.Clone(entry.Admitted)
	t.elsewhere[entry.DataCentre] = elsewhereState{DataCentreLoads: entry.DataCentreLoads, sent: sent, received: now, peer: peer}
}

func (t *Tracker) expireElsewhere(now time.Time) {
	for dataCentre, entry := range t.elsewhere {
		if entry.expired(now) {
			delete(t.elsewhere, dataCentre)
		}
	}
}

// Elsewhere returns the load of a service in each data centre with a recent message, by id.
func (t *Tracker) Elsewhere(now time.Time, service fleet.ServiceName) []DataCentreUtilisation {
	var loads []DataCentreUtilisation
	for dataCentre, entry := range t.elsewhere {
		if entry.expired(now) {
			continue
		}
		utilisation := DataCentreUtilisation{DataCentre: dataCentre, Known: !entry.More, Free: !entry.More}
		if i := slices.IndexFunc(entry.Short, func(u ServiceUtilisation) bool { return u.Service == service }); i >= 0 {
			utilisation.Known, utilisation.Free = true, false
			utilisation.InFlight, utilisation.Limit = float64(entry.Short[i].InFlight), float64(entry.Short[i].Limit)
		}
		loads = append(loads, utilisation)
	}
	slices.SortFunc(loads, func(a, b DataCentreUtilisation) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return loads
}

// AdmittedBy returns the fraction of the new flows of a priority that another data centre admits to its
// servers. It is 1 if the data centre has reported none, or not recently. It is meant for the first copy
// of each opening packet whose server is in that data centre, while its servers have more callers than
// they can serve.
func (t *Tracker) AdmittedBy(now time.Time, dataCentre fleet.DataCentreID, service fleet.ServiceName, priority catalogue.Priority) float64 {
	entry, ok := t.elsewhere[dataCentre]
	if !ok || len(entry.Admitted) == 0 || entry.expired(now) {
		return 1
	}
	wanted := uint32(boundPriority(int(priority)))
	for i := range entry.Admitted {
		if a := &entry.Admitted[i]; a.Priority == wanted && a.Service == service {
			return a.Ratio()
		}
	}
	return 1
}

// DataCentreAdmission is an admitted fraction of another data centre.
type DataCentreAdmission struct {
	DataCentre fleet.DataCentreID
	AdmittedFraction
}

// AdmittedElsewhere returns the admitted fractions in the recent messages of all other data centres, by
// data centre, service and priority.
func (t *Tracker) AdmittedElsewhere(now time.Time) []DataCentreAdmission {
	var admitted []DataCentreAdmission
	for dataCentre, entry := range t.elsewhere {
		if entry.expired(now) {
			continue
		}
		for _, a := range entry.Admitted {
			admitted = append(admitted, DataCentreAdmission{dataCentre, a})
		}
	}
	slices.SortFunc(admitted, func(a, b DataCentreAdmission) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority))
	})
	return admitted
}

// elsewhereFor returns the entries for a report, without those that came from the receiver.
func (t *Tracker) elsewhereFor(now time.Time, peer fleet.HostID) []DataCentreEntry {
	var entries []DataCentreEntry
	for dataCentre, entry := range t.elsewhere {
		if entry.expired(now) || entry.peer == peer {
			continue
		}
		loads := entry.DataCentreLoads
		loads.Short, loads.Admitted = slices.Clone(loads.Short), slices.Clone(loads.Admitted)
		entries = append(entries, DataCentreEntry{DataCentre: dataCentre, Age: max(0, now.Sub(entry.sent)), DataCentreLoads: loads})
	}
	slices.SortFunc(entries, func(a, b DataCentreEntry) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return entries
}

// ShortServices returns the message about servers of one data centre. A server without a known
// estimate counts with its initial limit, since it is idle: the sums over its data centre would hold
// its responses otherwise. Servers that do not accept flows count with their requests in flight only.
func (t *Tracker) ShortServices(now time.Time, servers []*catalogue.Server, accepts func(*catalogue.Server) bool) DataCentreLoads {
	sums := make(map[fleet.ServiceName]Utilisation)
	for _, server := range servers {
		sum, estimate := sums[server.Service], t.Estimate(now, server)
		sum.InFlight += estimate.InFlight
		if accepts(server) {
			sum.Limit += estimate.Limit
		}
		sums[server.Service] = sum
	}
	var loads DataCentreLoads
	for service, sum := range sums {
		u := ServiceUtilisation{Service: service, InFlight: uint32(min(sum.InFlight, maxUtilisationSum)), Limit: uint32(min(sum.Limit, maxUtilisationSum))}
		if u.Ratio() > ShortUtilisation {
			loads.Short = append(loads.Short, u)
		}
	}
	slices.SortFunc(loads.Short, func(a, b ServiceUtilisation) int {
		return cmp.Or(cmp.Compare(b.Ratio(), a.Ratio()), cmp.Compare(a.Service, b.Service))
	})
	loads.Truncate(MaxShortServices)
	return loads
}

// SetAdmitted sets the admitted fractions, ordered by how much they refuse.
func (l *DataCentreLoads) SetAdmitted(fractions []AdmittedFraction) {
	slices.SortFunc(fractions, func(a, b AdmittedFraction) int {
		return cmp.Or(cmp.Compare(a.Fraction, b.Fraction), cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Service, b.Service))
	})
	l.Admitted = fractions
	l.TruncateAdmitted(MaxAdmittedFractions)
}

// Truncate keeps at most n services, those with the highest utilisation.
func (l *DataCentreLoads) Truncate(n int) {
	if len(l.Short) > n {
		l.Short, l.More = l.Short[:n], true
	}
}

// TruncateAdmitted keeps at most n admitted fractions, the lowest ones. For those that it omits
// receivers apply 1. Those that it keeps of a service are of the lowest priorities, so that none is
// served before a higher one.
func (l *DataCentreLoads) TruncateAdmitted(n int) {
	if len(l.Admitted) > n {
		l.Admitted, l.MoreAdmitted = l.Admitted[:n], true
	}
}

// Check returns an error if a number is out of range.
func (l *DataCentreLoads) Check() error {
	if len(l.Short) > MaxShortServices {
		return errors.Errorf("%d short services", len(l.Short))
	}
	seen := make(map[fleet.ServiceName]bool, len(l.Short))
	for _, u := range l.Short {
		if reason := declaration.CheckName(string(u.Service)); reason != "" || seen[u.Service] {
			return errors.Errorf("short service is repeated or %s", reason)
		}
		if u.InFlight > maxUtilisationSum || u.Limit > maxUtilisationSum || u.Ratio() <= ShortUtilisation {
			return errors.Errorf("service %s is not short with %d requests in flight and limit %d", u.Service, u.InFlight, u.Limit)
		}
		seen[u.Service] = true
	}
	return l.checkAdmitted()
}

// checkAdmitted returns an error if an admitted fraction is out of range or repeated.
func (l *DataCentreLoads) checkAdmitted() error {
	if len(l.Admitted) > MaxAdmittedFractions {
		return errors.Errorf("%d admitted fractions", len(l.Admitted))
	}
	for i := range l.Admitted {
		a := &l.Admitted[i]
		if reason := declaration.CheckName(string(a.Service)); reason != "" {
			return errors.Errorf("service of an admitted fraction %s", reason)
		}
		if a.Priority > MaxPriority || a.Fraction == 0 || a.Fraction >= AdmittedUnit {
			return errors.Errorf("admitted fraction %d/%d of service %s at priority %d is out of range", a.Fraction, AdmittedUnit, a.Service, a.Priority)
		}
		if slices.ContainsFunc(l.Admitted[:i], func(b AdmittedFraction) bool { return b.Service == a.Service && b.Priority == a.Priority }) {
			return errors.Errorf("admitted fraction of service %s at priority %d is repeated", a.Service, a.Priority)
		}
	}
	return nil
}

// Check returns an error if the entry is impossible.
func (e *DataCentreEntry) Check() error {
	if reason := declaration.CheckName(string(e.DataCentre)); reason != "" {
		return errors.Errorf("data centre %s", reason)
	}
	if e.Age < 0 || e.Age > maxReportedAge {
		return errors.Errorf("load of data centre %s has age %s", e.DataCentre, e.Age)
	}
	return e.DataCentreLoads.Check()
}

// CheckElsewhere returns an error if the entries on other data centres are impossible.
func (r *Report) CheckElsewhere() error {
	if len(r.Elsewhere) > maxElsewhereDataCentres {
		return errors.Errorf("loads of %d data centres", len(r.Elsewhere))
	}
	seen := make(map[fleet.DataCentreID]bool, len(r.Elsewhere))
	for i := range r.Elsewhere {
		entry := &r.Elsewhere[i]
		if err := entry.Check(); err != nil {
			return err
		}
		if seen[entry.DataCentre] {
			return errors.Errorf("data centre %s is repeated", entry.DataCentre)
		}
		seen[entry.DataCentre] = true
	}
	return nil
}

// InitialLimit is the limit of a server of which nothing is known.
func InitialLimit(server *catalogue.Server) float64 { return initialLimit(server) }

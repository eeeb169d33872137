package forwarding

import (
	"net/netip"
	"time"

	"github.com/rattanthread/rattanthread/admission"
	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/load"
	"github.com/rattanthread/rattanthread/placement"
)

// Kind is the role of a packet in its flow.
type Kind int

// The kinds of packets of a caller.
const (
	// Segment is a packet of an open flow.
	Segment Kind = iota
	// Opening is a packet that requests a new flow.
	Opening
	// Closing announces that the caller will send no more data.
	Closing
	// Reset aborts a flow.
	Reset
	// Foreign is a packet that no caller sends.
	Foreign
)

var kindNames = [...]string{"segment", "opening", "closing", "reset", "foreign"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Packet holds the fields of a caller's packet that decisions depend on.
type Packet struct {
	Source, Destination netip.AddrPort
	Kind                Kind
	Cookie              catalogue.Cookie
	Seq, Ack            uint32
	// Length is the length of the data in bytes.
	Length int
}

// Action is how a packet is handled.
type Action int

// The actions.
const (
	Drop Action = iota
	Forward
	Refuse
)

var actionNames = [...]string{"drop", "forward", "reset"}

// String returns the name of the action in snake case.
func (a Action) String() string { return actionNames[a] }

// Reason is why an action was chosen.
type Reason int

// The reasons.
const (
	Placed Reason = iota
	PlacedAgain
	ByCookie
	NoRoute
	RouteUnknown
	NoServer
	ServerGone
	ServerUnreachable
	ServerUnknown
	NotFromCaller
	NotReady
	// NoRoom means that the service has no capacity for more flows of the route's priority.
	NoRoom

	// ReasonCount is the number of reasons.
	ReasonCount
)

var reasonNames = [ReasonCount]string{
	"placed", "placed_again", "by_cookie", "no_route", "route_unknown", "no_server",
	"server_gone", "server_unreachable", "server_unknown", "not_a_callers", "not_ready",
	"no_room",
}

// String returns the name of the reason in snake case.
func (r Reason) String() string { return reasonNames[r] }

// Decision is how a packet is handled, and why.
type Decision struct {
	Action Action
	Reason Reason
	// Server is the server of the flow, or nil if there is none.
	Server *catalogue.Server
	// AdmittedBy is the data centre whose admitted fraction refused the flow, if Reason is NoRoom.
	AdmittedBy fleet.DataCentreID
	// Cookie is the cookie of the forwarded packet.
	Cookie catalogue.Cookie
	// FailedAttempts is the number of failed attempts to open the flow before this one.
	FailedAttempts int
	// Unresponsive is the server that did not respond to an earlier copy of the packet.
	Unresponsive fleet.ServerID
	// Probe is a server that may have failed and should be probed now, or nil.
	Probe *catalogue.Server
	// OpenSince is when the host first saw the open flow, if its route is not known or its server was removed;
	// zero means that it has not seen the flow before.
	OpenSince time.Time
	// LoadChanged means that the server became busy or stopped being so.
	LoadChanged, Busy bool
	// SuspicionRaised and SuspicionCleared identify the server whose suspicion the
	// packet raised or cleared. Zero means none.
	SuspicionRaised, SuspicionCleared catalogue.Cookie
}

// DefaultMaxConfigurationAge is the default of Forwarder.MaxConfigurationAge.
const DefaultMaxConfigurationAge = 2 * time.Second

// maxOpeningCopies is how often callers retransmit an opening packet.
const maxOpeningCopies = 2

// maxCallerAttempts is how many consecutive failed attempts of a caller count as observations of the load of their
// servers. Callers retransmit an opening packet twice and retry a request twice. A longer series is a scan or a probe
// that opens flows and never completes them: in the in-memory site it lowered the limits of idle servers.
const maxCallerAttempts = 4

// Forwarder decides how packets are handled. It is not safe for concurrent use.
type Forwarder struct {
	Chooser placement.Chooser
	// MaxConfigurationAge is the maximum time since the configuration was confirmed
	// for new flows to be refused for the lack of a route. Zero means
	// DefaultMaxConfigurationAge.
	MaxConfigurationAge time.Duration
	// Utilisation returns the load of servers, and Demand the demand of a service by priority. If
	// one of them is nil, no flow is refused for lack of capacity.
	Utilisation func(now time.Time, servers []*catalogue.Server) load.Utilisation
	Demand      func(now time.Time, service fleet.ServiceName) []load.ServiceDemand
	// Admission decides which new flows to the servers of the local data centre are refused for lack
	// of capacity.
	Admission admission.Controller
	// AdmittedBy returns the fraction of the new flows of a priority that another data centre admits
	// to its servers. Nil means that all admit everything.
	AdmittedBy func(now time.Time, dataCentre fleet.DataCentreID, service fleet.ServiceName, priority catalogue.Priority) float64

	flows FlowTable
	// reachable is reused by updateAdmission.
	reachable []*catalogue.Server
}

// UseLoad sets whether decisions are based on the learned load of servers.
func (f *Forwarder) UseLoad(use bool) {
	tracker := &f.Chooser.Load
	f.Chooser.Estimate, f.Chooser.Elsewhere, f.Utilisation, f.Demand, f.AdmittedBy = nil, nil, nil, nil, nil
	if use {
		f.Chooser.Estimate, f.Chooser.Elsewhere = tracker.Estimate, tracker.Elsewhere
		f.Utilisation, f.Demand, f.AdmittedBy = tracker.Utilisation, tracker.Demand, tracker.AdmittedBy
	}
}

// Confirmation holds the times at which the state in a catalogue was last confirmed. Zero means that it was not.
type Confirmation struct {
	// Configuration is when the configuration was known to be current.
	Configuration time.Time
	// Routes and Servers are when no others were known to exist. After an outage or a restoration of the store they
	// remain at a time before it, until lost records have been written again.
	Routes, Servers time.Time
}

// Decide decides how a packet is handled, based on the host's catalogue.
func (f *Forwarder) Decide(now time.Time, current *catalogue.Catalogue, confirmed Confirmation, packet Packet) Decision {
	if packet.Kind == Foreign {
		return Decision{Reason: NotFromCaller}
	}
	if !current.Ready() {
		return Decision{Reason: NotReady}
	}
	route := current.Route(packet.Destination)
	switch {
	case packet.Kind == Opening && route == nil:
		return f.decideOpeningWithoutRoute(now, confirmed.Configuration)
	case packet.Kind == Opening:
		return f.decideOpening(now, current, route, packet)
	case route == nil:
		return f.decideSegmentWithoutRoute(now, current, confirmed, packet)
	}
	return f.decideSegment(now, current, confirmed, packet)
}

// decideOpeningWithoutRoute refuses a new flow without a route if the configuration is recent.
func (f *Forwarder) decideOpeningWithoutRoute(now, confirmed time.Time) Decision {
	maxAge := f.MaxConfigurationAge
	if maxAge == 0 {
		maxAge = DefaultMaxConfigurationAge
	}
	if age, known := catalogue.AgeAt(now, confirmed); !known || age > maxAge {
		return Decision{Reason: RouteUnknown}
	}
	return Decision{Action: Refuse, Reason: NoRoute}
}

// decideOpening selects the server of a new flow.
func (f *Forwarder) decideOpening(now time.Time, current *catalogue.Catalogue, route *catalogue.Route, packet Packet) Decision {
	hash := keyOf(&packet).hash()
	service := current.Pick(route, hash)
	pool := current.Pool(service)
	failed := f.failedAttempts(now, pool, hash, &packet)
	server := f.Chooser.Choose(now, pool, hash, failed)
	if packet.Ack == 0 && failed.Count() > 0 && server != nil {
		server = f.localIfRefused(now, pool, server, route.Priority, hash, failed)
	}
	if packet.Ack == 0 && (server == nil || f.isLocal(server)) {
		f.Chooser.Load.RecordOpening(now, service, int(route.Priority))
	}
	if server == nil && !current.Complete() {
		return Decision{Reason: NotReady}
	}
	if server == nil {
		return Decision{Action: Refuse, Reason: NoServer}
	}
	if !f.admit(now, pool, server, route.Priority, hash, &packet) {
		return Decision{Action: Refuse, Reason: NoRoom, AdmittedBy: server.DataCentre}
	}
	decision := Decision{Action: Forward, Reason: Placed, Server: server, Cookie: server.Cookie.MaskFor(packet.Destination)}
	f.Chooser.RecordOpening(now, pool, server)
	for _, ended := range f.flows.RecordOpening(now, &packet, server.Cookie, failed) {
		f.recordEnd(now, current, packet.Destination, ended)
	}
	f.Chooser.Load.RecordRequest(now, server, netip.AddrPort{})
	if failed.Count() > 0 || f.Chooser.Reachability.Unreachable(server.Cookie) {
		f.Chooser.Shortage.RecordFailure(now, server.Service)
	}
	if failed.Count() > 0 {
		decision.Reason, decision.FailedAttempts = PlacedAgain, failed.Count()
		f.recordRetransmission(now, current, failed.Last(), &decision)
		if failed.Count() <= maxCallerAttempts {
			f.recordUnacknowledged(now, current, failed.Last())
		}
	}
	return decision
}

// admit reports whether a new flow is placed. A refusal tells the caller that nothing has run, so it
// applies only to the first copy of an opening packet of a flow that this host has not forwarded.
func (f *Forwarder) admit(now time.Time, pool *catalogue.Pool, server *catalogue.Server, priority catalogue.Priority, hash uint64, packet *Packet) bool {
	if !f.controlsAdmission() {
		return true
	}
	f.updateAdmission(now, pool, server.Service)
	return packet.Ack > 0 || f.admits(now, server, priority, hash) || f.flows.Contains(packet)
}

// localIfRefused returns a local server in place of one in another data centre that does not admit the flow, or the
// given server. It is meant for callers that retry after an idle local server has not responded: their attempts
// alternate between the data centres, and none is refused for lack of capacity while local servers admit it.
func (f *Forwarder) localIfRefused(
	now time.Time, pool *catalogue.Pool, server *catalogue.Server, priority catalogue.Priority, hash uint64, failed placement.FailedAttempts,
) *catalogue.Server {
	if f.isLocal(server) || !f.controlsAdmission() || f.admits(now, server, priority, hash) {
		return server
	}
	failed.Add(server.Cookie) // after an attempt in another data centre, the next one prefers the local one
	if local := f.Chooser.Choose(now, pool, hash, failed); local != nil && f.isLocal(local) {
		return local
	}
	return server
}

// controlsAdmission reports whether flows may be refused for lack of capacity.
func (f *Forwarder) controlsAdmission() bool { return f.Utilisation != nil && f.Demand != nil }

// admits reports whether the data centre of a server admits a new flow to it. The fraction is that of
// the data centre of the server, not that of the host, and the hash is the same on all hosts. It is
// meant for a data centre whose servers are short and whose callers arrive through several data
// centres, in unequal shares: all callers of a priority then have equal chances.
func (f *Forwarder) admits(now time.Time, server *catalogue.Server, priority catalogue.Priority, hash uint64) bool {
	if f.isLocal(server) {
		return f.Admission.Admit(server.Service, priority, hash)
	}
	return admission.AdmitFraction(f.admittedFraction(now, server.Service, server.DataCentre, priority), hash)
}

// admittedFraction returns the fraction of the new flows of a priority that a data centre admits.
func (f *Forwarder) admittedFraction(now time.Time, service fleet.ServiceName, dataCentre fleet.DataCentreID, priority catalogue.Priority) float64 {
	switch {
	case dataCentre == f.Chooser.DataCentre:
		return f.Admission.Fraction(service, priority)
	case f.AdmittedBy == nil:
		return 1
	}
	return f.AdmittedBy(now, dataCentre, service, priority)
}

func (f *Forwarder) isLocal(server *catalogue.Server) bool {
	return server.DataCentre == f.Chooser.DataCentre
}

// updateAdmission updates the admission to a service if it is due, from the load of the servers of
// the local data centre. Servers that can't be reached have no free capacity.
func (f *Forwarder) updateAdmission(now time.Time, pool *catalogue.Pool, service fleet.ServiceName) {
	if !f.Admission.Due(now, service) {
		return
	}
	f.reachable = f.reachable[:0]
	for _, server := range pool.ByDataCentre[f.Chooser.DataCentre] {
		if !f.Chooser.Reachability.Unreachable(server.Cookie) {
			f.reachable = append(f.reachable, server)
		}
	}
	var utilisation load.Utilisation // unknown: nothing more is refused while another data centre has free capacity
	if !f.Chooser.CapacityElsewhere(now, service) {
		utilisation = f.Utilisation(now, f.reachable)
	}
	f.Admission.Update(now, service, utilisation, f.Demand(now, service))
}

// failedAttempts returns the servers of the failed attempts to open a flow. If the
// earlier copies of a retransmitted opening packet went through another host, it
// assumes the servers that this host would have chosen.
func (f *Forwarder) failedAttempts(now time.Time, pool *catalogue.Pool, hash uint64, packet *Packet) placement.FailedAttempts {
	failed := f.flows.FailedAttempts(now, packet)
	for failed.Count() < min(int(packet.Ack), maxOpeningCopies) && len(pool.All) > 0 {
		server := f.Chooser.Choose(now, pool, hash, failed)
		if server == nil {
			break
		}
		failed.Add(server.Cookie)
	}
	return failed
}

// recordLoad records the requests that a packet begins or ends on its server.
func (f *Forwarder) recordLoad(now time.Time, current *catalogue.Catalogue, server *catalogue.Server, route netip.AddrPort, record *PacketRecord) {
	if record.Latency > 0 && record.Ended.Server != 0 {
		f.Chooser.Load.RecordResponse(now, server, route, record.Ended.Since, record.Latency, record.Bytes)
	} else {
		f.recordEnd(now, current, route, record.Ended)
	}
	switch {
	case record.Began && record.Opening.Opening:
		f.Chooser.Load.RecordFirstRequest(now, server, route, record.Opening.Since)
	case record.Began:
		f.Chooser.Load.RecordRequest(now, server, route)
	}
}

// recordEnd records that a request on a route ended without a response. The tracker may have discarded it; it then
// finds no request with its start.
func (f *Forwarder) recordEnd(now time.Time, current *catalogue.Catalogue, route netip.AddrPort, request InFlight) {
	server := current.Server(request.Server)
	if server == nil {
		return
	}
	if request.Opening {
		route = netip.AddrPort{}
	}
	f.Chooser.Load.RecordAbandoned(now, server, route, request.Since)
}

// recordRetransmission records that a server did not respond to a packet in time.
func (f *Forwarder) recordRetransmission(now time.Time, current *catalogue.Catalogue, cookie catalogue.Cookie, decision *Decision) {
	server := current.Server(cookie)
	if server == nil {
		return
	}
	decision.Unresponsive = server.ID
	if f.Chooser.Suspects.RecordRetransmission(now, cookie) {
		decision.SuspicionRaised = cookie
	}
	if f.Chooser.Reachability.StartProbing(cookie) {
		decision.Probe = server
	}
}

// recordUnacknowledged records a packet that a server did not acknowledge as an observation of its load.
func (f *Forwarder) recordUnacknowledged(now time.Time, current *catalogue.Catalogue, cookie catalogue.Cookie) {
	if server := current.Server(cookie); server != nil {
		f.Chooser.Load.RecordRetransmission(now, server)
	}
}

// Probe is a completed probe of a server.
type Probe struct {
	Server   catalogue.Cookie
	Began    time.Time
	Evidence placement.Evidence
}

// RecordProbe records the result of a probe. If the server accepts no connections, it
// returns a packet of each flow to reset, and the servers that may have failed along
// with it and should be probed now. The flows of an unresponsive server are kept
// while no other server could accept them: it may only be partitioned from this host.
func (f *Forwarder) RecordProbe(now time.Time, current *catalogue.Catalogue, probe Probe) ([]Packet, []*catalogue.Server) {
	if probe.Evidence == placement.Unclear {
		f.Chooser.Isolation.RecordNoResponse(now, probe.Server)
	} else {
		f.Chooser.Isolation.RecordResponse()
	}
	server := current.Server(probe.Server)
	alternative := server != nil && f.Chooser.HasAlternative(current.Pool(server.Service), probe.Server)
	if !f.Chooser.Reachability.RecordProbe(probe.Began, probe.Server, probe.Evidence, alternative) {
		return nil, nil
	}
	f.Chooser.Load.Forget(probe.Server)
	if server == nil || !f.Chooser.Outages.RecordUnreachable(now, server.DataCentre) {
		return f.flows.EndFlows(now, probe.Server, now), nil
	}
	var candidates []*catalogue.Server
	for _, other := range current.Pool(server.Service).ByDataCentre[server.DataCentre] {
		if f.Chooser.Reachability.StartProbing(other.Cookie) {
			candidates = append(candidates, other)
		}
	}
	return f.flows.EndFlows(now, probe.Server, now), candidates
}

// CatalogueChanged discards what was learned of earlier starts of the servers that have started
// again since the previous catalogue, which may be nil. Flows that were opened on a cold server
// still count against its limit.
func (f *Forwarder) CatalogueChanged(previous, current *catalogue.Catalogue) {
	for _, server := range current.Restarted(previous) {
		f.Chooser.Reachability.Forget(server.Cookie)
		f.Chooser.Suspects.Forget(server.Cookie)
		f.Chooser.Loads.Forget(server.Cookie)
		f.Chooser.Load.Forget(server.Cookie)
		f.flows.RemoveInFlight(server.Cookie)
	}
}

// RemoveServer discards the state of a removed server, whose removal was last confirmed at a time. It returns a
// packet of each flow to reset.
func (f *Forwarder) RemoveServer(now time.Time, server catalogue.Cookie, confirmed time.Time) []Packet {
	f.Chooser.Reachability.Forget(server)
	f.Chooser.Loads.Forget(server)
	f.Chooser.Load.Forget(server)
	f.Chooser.Warmup.Forget(server)
	return f.flows.EndFlows(now, server, confirmed)
}

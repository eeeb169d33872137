package forwarding

import (
	"net/netip"
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/placement"
)

// Kind is what a packet does to its flow.
type Kind int

// The kinds of packets of a caller.
const (
	// Segment belongs to an open flow.
	Segment Kind = iota
	// Opening asks for a new flow.
	Opening
	// Closing says that the caller sends no more.
	Closing
	// Reset ends a flow.
	Reset
	// Foreign is nothing that a caller sends.
	Foreign
)

var kindNames = [...]string{"segment", "opening", "closing", "reset", "foreign"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Packet is what is decided on.
type Packet struct {
	Source, Destination netip.AddrPort
	Kind                Kind
	Cookie              catalogue.Cookie
	Seq, Ack            uint32
	// Length is that of the data in bytes.
	Length int
}

// Action is what becomes of a packet.
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

// Reason says why an action was chosen.
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
	NotACallers
	NotReady

	// ReasonCount is how many reasons there are.
	ReasonCount
)

var reasonNames = [ReasonCount]string{
	"placed", "placed_again", "by_cookie", "no_route", "route_unknown", "no_server",
	"server_gone", "server_unreachable", "server_unknown", "not_a_callers", "not_ready",
}

// String returns the name of the reason in snake case.
func (r Reason) String() string { return reasonNames[r] }

// Decision is what becomes of a packet, and why.
type Decision struct {
	Action Action
	Reason Reason
	// Server gets the packet if it is forwarded.
	Server *catalogue.Server
	// Cookie is what the forwarded packet carries.
	Cookie catalogue.Cookie
	// Tries is how many tries of a new flow have failed before.
	Tries int
	// Doubted is the server that a repeated packet was sent to before.
	Doubted fleet.ServerID
	// Probe is a server that may have ended, which should be probed now.
	Probe *catalogue.Server
	// LoadChanged says that the server has become busy or stopped being so.
	LoadChanged, Busy bool
	// Raised and Cleared name the server whose suspicion the packet raised or
	// cleared; zero for none.
	Raised, Cleared catalogue.Cookie
}

// DefaultFresh is how recently a configuration must have been confirmed for
// the lack of a route to be certain.
const DefaultFresh = 2 * time.Second

// maxCopies is how many copies of an opening packet callers send.
const maxCopies = 2

// Forwarder decides on packets. It belongs to one goroutine.
type Forwarder struct {
	Chooser placement.Chooser
	// Fresh is how recently the configuration must have been confirmed for a
	// refusal because of it. Zero means DefaultFresh.
	Fresh time.Duration

	flows Flows
}

// Decide decides on a packet by what the host knows.
func (f *Forwarder) Decide(now time.Time, c *catalogue.Catalogue, confirmed time.Time, p Packet) Decision {
	if p.Kind == Foreign {
		return Decision{Reason: NotACallers}
	}
	if !c.Ready() {
		return Decision{Reason: NotReady}
	}
	route := c.Route(p.Destination)
	if route == nil {
		return f.withoutRoute(now, confirmed, p)
	}
	if p.Kind == Opening {
		return f.open(now, c, route, p)
	}
	return f.segment(now, c, p)
}

// withoutRoute refuses what no route allows, as soon as that is certain.
func (f *Forwarder) withoutRoute(now, confirmed time.Time, p Packet) Decision {
	fresh := f.Fresh
	if fresh == 0 {
		fresh = DefaultFresh
	}
	if p.Kind == Reset || now.Sub(confirmed) > fresh {
		return Decision{Reason: RouteUnknown}
	}
	return Decision{Action: Refuse, Reason: NoRoute}
}

// open places a new flow.
func (f *Forwarder) open(now time.Time, c *catalogue.Catalogue, route *catalogue.Route, p Packet) Decision {
	hash := keyOf(&p).hash()
	pool := c.Pool(c.Pick(route, hash))
	failed := f.failed(now, pool, hash, &p)
	server := f.Chooser.Choose(now, pool, hash, failed)
	if server == nil && !c.Whole() {
		return Decision{Reason: NotReady}
	}
	if server == nil {
		return Decision{Action: Refuse, Reason: NoServer}
	}
	d := Decision{Action: Forward, Reason: Placed, Server: server, Cookie: server.Cookie.On(p.Destination)}
	f.Chooser.Opened(now, pool, server)
	f.flows.Opened(now, &p, server.Cookie, failed)
	if failed.Count() > 0 || f.Chooser.Reach.Unreachable(server.Cookie) {
		f.Chooser.Shortage.Failed(now, server.Service)
	}
	if failed.Count() > 0 {
		d.Reason, d.Tries = PlacedAgain, failed.Count()
		f.repeated(now, c, failed.Last(), &d)
	}
	return d
}

// failed returns the servers that have not opened a flow. For a copy of an opening
// packet that was sent through another host, these are the ones that this host
// would have chosen.
func (f *Forwarder) failed(now time.Time, pool *catalogue.Pool, hash uint64, p *Packet) placement.Failed {
	failed := f.flows.Failed(now, p)
	for failed.Count() < min(int(p.Ack), maxCopies) && len(pool.All) > 0 {
		server := f.Chooser.Choose(now, pool, hash, failed)
		if server == nil {
			break
		}
		failed.Add(server.Cookie)
	}
	return failed
}

// segment sends a packet of an open flow to the flow's server.
func (f *Forwarder) segment(now time.Time, c *catalogue.Catalogue, p Packet) Decision {
	cookie := p.Cookie.On(p.Destination)
	server := c.Server(cookie)
	if server == nil {
		return withoutServer(c, cookie, p)
	}
	if f.Chooser.Reach.Ended(cookie) && p.Kind != Reset {
		f.flows.Closed(&p)
		return Decision{Action: Refuse, Reason: ServerUnreachable, Server: server}
	}
	d := Decision{Action: Forward, Reason: ByCookie, Server: server, Cookie: p.Cookie}
	if p.Kind == Reset {
		f.flows.Closed(&p)
		return d
	}
	sign, took := f.flows.Seen(now, &p, cookie)
	if took > 0 {
		f.Chooser.Shortage.Answered(now)
	}
	if took > 0 && f.Chooser.Loads.Answered(now, server, took) {
		d.LoadChanged = true
		d.Busy = f.Chooser.Loads.Busy(now, cookie)
	}
	switch sign {
	case Repetition:
		f.repeated(now, c, cookie, &d)
	case Answer:
		f.Chooser.Reach.Answered(now, cookie)
		f.Chooser.Isolation.Answered()
		if f.Chooser.Suspects.Answered(now, cookie) {
			d.Cleared = cookie
		}
	case NoSign:
	}
	return d
}

// repeated notes that a server has not answered a packet in time.
func (f *Forwarder) repeated(now time.Time, c *catalogue.Catalogue, cookie catalogue.Cookie, d *Decision) {
	server := c.Server(cookie)
	if server == nil {
		return
	}
	d.Doubted = server.ID
	if f.Chooser.Suspects.Repeated(now, cookie) {
		d.Raised = cookie
	}
	if f.Chooser.Reach.Doubt(cookie) {
		d.Probe = server
	}
}

// Probe is a finished probe of a server.
type Probe struct {
	Server catalogue.Cookie
	Began  time.Time
	Found  placement.Evidence
}

// Probed takes in what a probe has found. If its server has turned out to accept no
// connections, it returns a packet of each flow to reset, and the servers that may
// have ended with it and should be probed now. The flows of a silent server are kept
// while no other one could take them: the server may only be cut off.
func (f *Forwarder) Probed(now time.Time, c *catalogue.Catalogue, p Probe) ([]Packet, []*catalogue.Server) {
	if p.Found == placement.Unclear {
		f.Chooser.Isolation.Unanswered(now, p.Server)
	} else {
		f.Chooser.Isolation.Answered()
	}
	server := c.Server(p.Server)
	other := server != nil && f.Chooser.Other(c.Pool(server.Service), p.Server)
	if !f.Chooser.Reach.Probed(p.Began, p.Server, p.Found, other) {
		return nil, nil
	}
	if server == nil || !f.Chooser.Outages.Ended(now, server.DataCentre) {
		return f.flows.Ended(p.Server), nil
	}
	var also []*catalogue.Server
	for _, other := range c.Pool(server.Service).Places[server.DataCentre] {
		if f.Chooser.Reach.Doubt(other.Cookie) {
			also = append(also, other)
		}
	}
	return f.flows.Ended(p.Server), also
}

// Ended takes in that a server has ended. It returns a packet of each flow to
// reset.
func (f *Forwarder) Ended(server catalogue.Cookie) []Packet {
	f.Chooser.Reach.Forget(server)
	f.Chooser.Loads.Forget(server)
	f.Chooser.Colds.Forget(server)
	return f.flows.Ended(server)
}

// withoutServer ends a flow whose server has ended. A cookie that is merely
// unknown proves nothing.
func withoutServer(c *catalogue.Catalogue, cookie catalogue.Cookie, p Packet) Decision {
	if c.IsGone(cookie) && p.Kind != Reset {
		return Decision{Action: Refuse, Reason: ServerGone}
	}
	return Decision{Reason: ServerUnknown}
}

package forwarding_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/forwarding"
	"github.com/rattanthread/rattanthread/load"
	"github.com/rattanthread/rattanthread/placement"
)

// Figures of the model of data centres.
const (
	modelSlots       = 2
	modelQueue       = 8
	modelWork        = 50 * time.Millisecond
	modelRefusalTime = 2 * time.Millisecond
	modelInterval    = 400 * time.Millisecond // of load reports and of the exchange
	modelDelay       = 20 * time.Millisecond  // of a message between hosts
	modelDeadline    = 2 * time.Second
	modelAttempts    = 3
	modelRetryDelay  = 200 * time.Millisecond
	// modelCapacity is the rate that a server bears.
	modelCapacity = modelSlots * float64(time.Second) / float64(modelWork)
)

// modelDataCentre is a data centre of the model. Its first host reports to the other data centres, and
// its last one has all callers. By default they are the same one.
type modelDataCentre struct {
	id      fleet.DataCentreID
	hosts   []*forwarding.Forwarder
	servers int
	// hostCount is 1 or 2. Zero means 1.
	hostCount int
	// lists and orders are the rates of callers of the priorities 2 and 1.
	lists, orders float64
	callers       map[netip.AddrPort]*callerCounts
}

// first returns the host that reports to other data centres.
func (d *modelDataCentre) first() *forwarding.Forwarder { return d.hosts[0] }

// last returns the host that has the callers.
func (d *modelDataCentre) last() *forwarding.Forwarder { return d.hosts[len(d.hosts)-1] }

// callerCounts counts the callers of one priority.
type callerCounts struct {
	callers, served, openings, refused int
	// openingsTo and refusedBy are by the data centre of the chosen server.
	openingsTo, refusedBy map[fleet.DataCentreID]int
}

func newCallerCounts() *callerCounts {
	return &callerCounts{openingsTo: make(map[fleet.DataCentreID]int), refusedBy: make(map[fleet.DataCentreID]int)}
}

// add adds the counts of another run.
func (c *callerCounts) add(o *callerCounts) {
	c.callers, c.served, c.openings, c.refused = c.callers+o.callers, c.served+o.served, c.openings+o.openings, c.refused+o.refused
	for id := range o.openingsTo {
		c.openingsTo[id] += o.openingsTo[id]
		c.refusedBy[id] += o.refusedBy[id]
	}
}

// share returns the share of the callers that were served in time.
func (c *callerCounts) share() float64 { return float64(c.served) / float64(c.callers) }

// admitted returns the share of the first opening packets that the host did not refuse.
func (c *callerCounts) admitted() float64 { return 1 - float64(c.refused)/float64(c.openings) }

// admittedTo returns the share of those to the servers in a data centre that the host did not refuse.
func (c *callerCounts) admittedTo(dataCentre fleet.DataCentreID) float64 {
	return 1 - float64(c.refusedBy[dataCentre])/float64(c.openingsTo[dataCentre])
}

type modelServer struct {
	slotFreeAt [modelSlots]time.Time
	inFlight   int
	refused    int
}

// dataCentres simulates data centres with unequal callers, by events and without a network.
type dataCentres struct {
	now     time.Time
	random  *rand.Rand
	current *catalogue.Catalogue
	list    []*modelDataCentre
	servers map[fleet.ServerID]*modelServer
	events  modelEvents
	port    uint32
	// exchange returns how long a message of the exchange takes, and whether it arrives. It may change
	// the message.
	exchange func(from, to fleet.DataCentreID, loads *load.DataCentreLoads) (time.Duration, bool)
	// decided is called after each decision on an opening packet, if it is set.
	decided func(dataCentre *modelDataCentre, packet forwarding.Packet, decision forwarding.Decision)
}

type modelEvent struct {
	at    time.Time
	order int
	run   func()
}

type modelEvents struct {
	list  []modelEvent
	count int
}

func (e *modelEvents) Len() int { return len(e.list) }

func (e *modelEvents) Less(i, j int) bool {
	a, b := e.list[i], e.list[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.order < b.order
}

func (e *modelEvents) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }

func (e *modelEvents) Push(x any) { e.list = append(e.list, x.(modelEvent)) }

func (e *modelEvents) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

func newDataCentres(seed uint64, list ...*modelDataCentre) *dataCentres {
	d := &dataCentres{
		now: start, random: rand.New(rand.NewPCG(seed, 1)), list: list, servers: make(map[fleet.ServerID]*modelServer),
		exchange: func(fleet.DataCentreID, fleet.DataCentreID, *load.DataCentreLoads) (time.Duration, bool) {
			return modelDelay, true
		},
	}
	var servers []catalogue.Server
	for _, dataCentre := range list {
		for i := range dataCentre.servers {
			server := newServer(fleet.ServerID(fmt.Sprintf("%s-%02d", dataCentre.id, i)), "bench")
			server.DataCentre, server.Slots = dataCentre.id, modelSlots
			servers = append(servers, server)
			d.servers[server.ID] = &modelServer{}
		}
		for range max(1, dataCentre.hostCount) {
			host := &forwarding.Forwarder{Chooser: placement.Chooser{DataCentre: dataCentre.id}}
			host.UseLoad(true)
			dataCentre.hosts = append(dataCentre.hosts, host)
		}
	}
	d.clearCounts()
	var store fakeStore
	configuration := store.configuration("bench")
	routes := &configuration.Records[0].Configuration.Routes
	(*routes)[0].Priority = 2
	*routes = append(*routes, catalogue.Route{Name: "orders", Address: orders, Priority: 1, Shares: (*routes)[0].Shares})
	d.current = newCatalogue(configuration, store.servers(servers...))
	for _, dataCentre := range list {
		d.after(time.Duration(d.random.Int64N(int64(modelInterval))), func() { d.report(dataCentre) })
		d.after(time.Duration(d.random.Int64N(int64(modelInterval))), func() { d.sendLoads(dataCentre) })
		d.arrive(dataCentre, feed, func() float64 { return dataCentre.lists })
		d.arrive(dataCentre, orders, func() float64 { return dataCentre.orders })
	}
	return d
}

// clearCounts begins a new measurement.
func (d *dataCentres) clearCounts() {
	for _, dataCentre := range d.list {
		dataCentre.callers = make(map[netip.AddrPort]*callerCounts)
		for _, route := range []netip.AddrPort{feed, orders} {
			dataCentre.callers[route] = newCallerCounts()
		}
	}
}

func (d *dataCentres) after(delay time.Duration, run func()) {
	d.events.count++
	heap.Push(&d.events, modelEvent{d.now.Add(delay), d.events.count, run})
}

func (d *dataCentres) run(duration time.Duration) {
	until := d.now.Add(duration)
	for len(d.events.list) > 0 && !d.events.list[0].at.After(until) {
		next := heap.Pop(&d.events).(modelEvent)
		d.now = next.at
		next.run()
	}
	d.now = until
}

// report exchanges the load reports of the hosts of a data centre.
func (d *dataCentres) report(dataCentre *modelDataCentre) {
	for i, host := range dataCentre.hosts[:len(dataCentre.hosts)/2*2] {
		from, to := fleet.HostID(fmt.Sprint(i)), fleet.HostID(fmt.Sprint(1-i))
		report := host.Chooser.Load.ReportFor(d.now, to)
		d.after(modelDelay, func() {
			if err := dataCentre.hosts[1-i].Chooser.Load.Receive(d.now, from, report); err != nil {
				panic(err)
			}
		})
	}
	d.after(modelInterval, func() { d.report(dataCentre) })
}

// sendLoads sends the loads of a data centre to the others.
func (d *dataCentres) sendLoads(dataCentre *modelDataCentre) {
	for _, other := range d.list {
		if other == dataCentre {
			continue
		}
		loads := dataCentre.first().DataCentreLoads(d.now, d.current)
		delay, arrives := d.exchange(dataCentre.id, other.id, &loads)
		if !arrives {
			continue
		}
		d.after(delay, func() {
			if err := other.first().Chooser.Load.ReceiveElsewhere(d.now, dataCentre.id, loads); err != nil {
				panic(err)
			}
		})
	}
	d.after(modelInterval, func() { d.sendLoads(dataCentre) })
}

// arrive schedules callers as a Poisson process.
func (d *dataCentres) arrive(dataCentre *modelDataCentre, route netip.AddrPort, rate func() float64) {
	const pause = 100 * time.Millisecond
	if rate() == 0 {
		d.after(pause, func() { d.arrive(dataCentre, route, rate) })
		return
	}
	d.after(time.Duration(d.random.ExpFloat64()/rate()*float64(time.Second)), func() {
		dataCentre.callers[route].callers++
		d.attempt(dataCentre, route, d.now, 1)
		d.arrive(dataCentre, route, rate)
	})
}

// attempt opens a flow, from another port than the previous attempt, and sends a request.
func (d *dataCentres) attempt(dataCentre *modelDataCentre, route netip.AddrPort, began time.Time, number int) {
	host, counts := dataCentre.last(), dataCentre.callers[route]
	d.port++
	source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(d.port >> 16), 7}), uint16(d.port))
	packet := forwarding.Packet{Source: source, Destination: route, Kind: forwarding.Opening}
	send := func() forwarding.Decision { return host.Decide(d.now, d.current, confirmedAt(d.now), packet) }
	again := func() {
		if number < modelAttempts {
			d.after(time.Duration(number)*modelRetryDelay, func() { d.attempt(dataCentre, route, began, number+1) })
		}
	}
	decision := send()
	if d.decided != nil {
		d.decided(dataCentre, packet, decision)
	}
	counts.openings++
	if decision.Action != forwarding.Forward {
		if decision.Reason == forwarding.NoRoom {
			counts.refused++
			counts.refusedBy[decision.AdmittedBy]++
			counts.openingsTo[decision.AdmittedBy]++
		}
		again()
		return
	}
	counts.openingsTo[decision.Server.DataCentre]++
	packet.Kind, packet.Cookie, packet.Seq, packet.Ack, packet.Length = forwarding.Segment, decision.Cookie, 1, 1, 200
	send()
	end := func(bytes uint32) {
		packet.Seq, packet.Ack, packet.Length = 201, 1+bytes, 0
		send()
		packet.Kind = forwarding.Closing
		send()
	}
	server := d.servers[decision.Server.ID]
	if server.inFlight >= modelSlots+modelQueue {
		server.refused++
		d.after(modelRefusalTime, func() {
			end(40)
			again()
		})
		return
	}
	server.inFlight++
	first := 0
	for i, freeAt := range server.slotFreeAt {
		if freeAt.Before(server.slotFreeAt[first]) {
			first = i
		}
	}
	begin := d.now
	if server.slotFreeAt[first].After(begin) {
		begin = server.slotFreeAt[first]
	}
	done := begin.Add(time.Duration((0.5 + 0.5*d.random.ExpFloat64()) * float64(modelWork)))
	server.slotFreeAt[first] = done
	d.after(done.Sub(d.now), func() {
		server.inFlight--
		if d.now.Sub(began) <= modelDeadline {
			counts.served++
		}
		end(400)
	})
}

// serverRefusals returns how many requests full servers have refused.
func (d *dataCentres) serverRefusals() int {
	sum := 0
	for _, server := range d.servers {
		sum += server.refused
	}
	return sum
}

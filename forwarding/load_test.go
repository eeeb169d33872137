package forwarding_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/forwarding"
	"github.com/rattanthread/rattanthread/load"
	"github.com/rattanthread/rattanthread/placement"
)

// flow sends packets of one caller through a forwarder.
type flow struct {
	forwarder *forwarding.Forwarder
	current   *catalogue.Catalogue
	now       time.Time
	packet    forwarding.Packet
	server    *catalogue.Server
}

func newFlow(servers ...catalogue.Server) *flow {
	var store fakeStore
	if len(servers) == 0 {
		servers = []catalogue.Server{newServer("i-01", "bench")}
	}
	return &flow{
		forwarder: newForwarder(), current: newCatalogue(store.configuration("bench"), store.servers(servers...)),
		now: start, packet: openingPacket(),
	}
}

// send sends a packet after a time.
func (f *flow) send(after time.Duration) forwarding.Decision {
	f.now = f.now.Add(after)
	return f.forwarder.Decide(f.now, f.current, confirmedAt(f.now), f.packet)
}

// open opens the flow.
func (f *flow) open() {
	decision := f.send(0)
	f.server = decision.Server
	f.packet.Kind, f.packet.Cookie, f.packet.Seq, f.packet.Ack = forwarding.Segment, decision.Cookie, 1, 1
	f.send(time.Millisecond)
}

// request sends the only packet of a request.
func (f *flow) request(after time.Duration) {
	f.packet.Length = 200
	f.send(after)
}

// respond acknowledges a response of 400 bytes.
func (f *flow) respond(after time.Duration) {
	f.packet.Seq += uint32(f.packet.Length)
	f.packet.Length = 0
	f.packet.Ack += 400
	f.send(after)
}

// inFlight returns the number of requests in flight and flows that are being opened on the flow's server.
func (f *flow) inFlight() float64 {
	return f.forwarder.Chooser.Load.Estimate(f.now, f.server).Total()
}

// TestFlowCountsOnceInFlight guards against a server that looks full because one flow counts
// several times, or idle because it doesn't count.
func TestFlowCountsOnceInFlight(t *testing.T) {
	is := is.New(t)
	f := newFlow()
	decision := f.send(0)
	f.server = decision.Server
	is.Equal(f.inFlight(), 1.0) // from the opening packet
	f.packet.Kind, f.packet.Cookie, f.packet.Seq, f.packet.Ack = forwarding.Segment, decision.Cookie, 1, 1
	f.send(time.Millisecond)
	is.Equal(f.inFlight(), 1.0) // open, without a request yet
	f.request(time.Millisecond)
	is.Equal(f.inFlight(), 1.0)
	f.packet.Seq += 200
	f.send(time.Millisecond) // the second packet of the request
	is.Equal(f.inFlight(), 1.0)
	f.send(200 * time.Millisecond) // its retransmission
	is.Equal(f.inFlight(), 1.0)
	f.respond(10 * time.Millisecond)
	is.Equal(f.inFlight(), 0.0)
	f.packet.Ack += 100
	f.send(time.Millisecond) // more of the response
	is.Equal(f.inFlight(), 0.0)
	f.request(time.Second)
	is.Equal(f.inFlight(), 1.0) // a further request
	f.respond(20 * time.Millisecond)
	is.Equal(f.inFlight(), 0.0)
}

// TestRequestEndsWithoutResponse guards against requests that count until they expire although
// their flow has ended.
func TestRequestEndsWithoutResponse(t *testing.T) {
	tests := []struct {
		name string
		end  func(*flow)
	}{
		{"reset", func(f *flow) { f.packet.Kind = forwarding.Reset; f.send(time.Millisecond) }},
		{"closed", func(f *flow) { f.packet.Kind, f.packet.Length = forwarding.Closing, 0; f.send(time.Millisecond) }},
		{"server removed", func(f *flow) { f.forwarder.RemoveServer(start, f.server.Cookie, start) }},
		{"expired", func(f *flow) { f.now = f.now.Add(load.InFlightExpiry + time.Millisecond) }},
		{"server unreachable", func(f *flow) {
			f.forwarder.RecordProbe(f.now, f.current, forwarding.Probe{Server: f.server.Cookie, Began: f.now, Evidence: placement.Silent})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFlow(newServer("i-01", "bench"), newServer("i-02", "bench"))
			f.open()
			f.request(time.Millisecond)
			is.Equal(f.inFlight(), 1.0)
			test.end(f)
			is.Equal(f.inFlight(), 0.0)
			f.packet.Kind = forwarding.Reset
			f.send(0)
			is.Equal(f.inFlight(), 0.0)
		})
	}
}

// TestLateEndIsNotThatOfAnother guards against a request that is no longer counted because an
// expired one, or one of an earlier start of the server, has ended.
func TestLateEndIsNotThatOfAnother(t *testing.T) {
	tests := []struct {
		name string
		lose func(*flow)
	}{
		{"expired", func(f *flow) { f.now = f.now.Add(load.InFlightExpiry + time.Millisecond) }},
		{"server started again", func(f *flow) {
			var store fakeStore
			again := newServer("i-01", "bench")
			again.Started = 7
			after := newCatalogue(store.configuration("bench"), store.servers(again))
			f.forwarder.CatalogueChanged(f.current, after)
			f.current = after
			f.server = after.Server(f.server.Cookie)
		}},
	}
	for _, test := range tests {
		for _, kind := range []forwarding.Kind{forwarding.Reset, forwarding.Segment} {
			t.Run(test.name+" "+kind.String(), func(t *testing.T) {
				is := is.New(t)
				f := newFlow()
				f.open()
				f.request(time.Millisecond)
				test.lose(f)
				other := *f
				other.packet = openingPacket()
				other.packet.Source = netip.AddrPortFrom(caller.Addr(), 50000)
				other.open()
				other.request(time.Millisecond)
				f.now = other.now
				is.Equal(f.inFlight(), 1.0)
				f.packet.Kind = kind
				f.respond(time.Millisecond)
				is.Equal(f.inFlight(), 1.0)
			})
		}
	}
}

// learn makes the latency of the route known.
func (f *flow) learn(latency time.Duration) {
	for n := range 20 {
		other := *f
		other.packet = openingPacket()
		other.packet.Source = netip.AddrPortFrom(caller.Addr(), uint16(40000+n))
		other.open()
		other.request(time.Millisecond)
		other.respond(latency)
		f.now = other.now
	}
}

// TestEndOfDiscardedRequest simulates requests whose end is seen after the tracker has discarded them, while another
// flow has a request or an opening in flight. It guards against the end of one that removes the other.
func TestEndOfDiscardedRequest(t *testing.T) {
	ends := map[string]func(*flow){
		"response": func(f *flow) { f.respond(time.Millisecond) },
		"reset":    func(f *flow) { f.packet.Kind = forwarding.Reset; f.send(time.Millisecond) },
		"closing":  func(f *flow) { f.packet.Kind, f.packet.Length = forwarding.Closing, 0; f.send(time.Millisecond) },
		"opened again": func(f *flow) {
			f.packet = openingPacket()
			f.packet.Cookie = f.send(time.Millisecond).Cookie
			f.packet.Kind = forwarding.Reset
			f.send(0)
		},
	}
	begins := map[string]struct {
		begin func(*flow)
		after time.Duration
	}{
		"request": {func(f *flow) { f.open(); f.request(time.Millisecond) }, 500 * time.Millisecond},
		"opening": {func(f *flow) { f.open() }, load.OpeningExpiry},
	}
	for beginName, discarded := range begins {
		for otherName, other := range begins {
			for endName, end := range ends {
				if beginName == "opening" && endName == "response" {
					continue
				}
				t.Run(beginName+" that ends by "+endName+" during "+otherName, func(t *testing.T) {
					is := is.New(t)
					f := newFlow()
					f.learn(10 * time.Millisecond)
					discarded.begin(f)
					f.now = f.now.Add(discarded.after)
					second := *f
					second.packet = openingPacket()
					second.packet.Source = netip.AddrPortFrom(caller.Addr(), 50000)
					other.begin(&second)
					f.now = second.now
					is.Equal(f.inFlight(), 1.0)
					end(f)
					is.Equal(f.inFlight(), 1.0)
					second.now = f.now
					second.packet.Kind = forwarding.Reset
					second.send(0)
					is.Equal(f.inFlight(), 0.0)
				})
			}
		}
	}
}

// TestEndOfOlderRequest guards against the end of a flow that counts as that of another, whose request lasts on.
// The tracker must still discard the right one.
func TestEndOfOlderRequest(t *testing.T) {
	is := is.New(t)
	f := newFlow()
	f.learn(10 * time.Millisecond)
	second := *f
	second.packet = openingPacket()
	second.packet.Source = netip.AddrPortFrom(caller.Addr(), 50000)
	f.open()
	f.request(time.Millisecond)
	second.now = f.now.Add(200 * time.Millisecond)
	second.open()
	second.request(time.Millisecond)
	f.now = second.now.Add(100 * time.Millisecond)
	f.packet.Seq += 200
	f.send(0) // the last packet of the request, from which its latency counts
	f.respond(10 * time.Millisecond)
	is.Equal(f.inFlight(), 1.0)
	f.now = f.now.Add(300 * time.Millisecond) // the second one counts for 500 ms
	is.Equal(f.inFlight(), 1.0)
	f.now = f.now.Add(100 * time.Millisecond)
	is.Equal(f.inFlight(), 0.0)
}

// TestFirstRequestAfterExpiry guards against flows that do not count because they sent their first request long after
// they were opened.
func TestFirstRequestAfterExpiry(t *testing.T) {
	is := is.New(t)
	f := newFlow()
	f.open()
	f.now = f.now.Add(time.Second)
	is.Equal(f.inFlight(), 0.0)
	f.request(0)
	is.Equal(f.inFlight(), 1.0)
	f.respond(10 * time.Millisecond)
	is.Equal(f.inFlight(), 0.0)
}

// TestHalfOpenFlowsCauseNoRefusal simulates 60 flows a second to two servers that nobody completes, on a route of
// higher priority than that of the callers. It guards against a shortage that probes and scans cause.
func TestHalfOpenFlowsCauseNoRefusal(t *testing.T) {
	is := is.New(t)
	current := newPriorityCatalogue()
	f := &flow{forwarder: newForwarder(), current: current, now: start}
	f.forwarder.UseLoad(true)
	scanner := netip.MustParseAddr("127.0.2.1")
	for n := range 600 {
		f.packet = openingFrom(uint16(1000+n), orders)
		f.packet.Source = netip.AddrPortFrom(scanner, f.packet.Source.Port())
		scanner = scanner.Next()
		is.Equal(f.send(time.Second/120).Action, forwarding.Forward)
		f.packet = openingFrom(uint16(1000+n), feed)
		is.Equal(f.send(time.Second/120).Action, forwarding.Forward)
		utilisation := f.forwarder.Chooser.Load.Utilisation(f.now, current.Pool("bench").All)
		is.Equal(utilisation.InFlight, 0.0)
	}
}

// TestScanLowersNoLimit simulates a scan that opens 10 flows a second from one address and completes none, so that each
// looks like the retry of a refused flow. It guards against limits that fall although the servers are idle.
func TestScanLowersNoLimit(t *testing.T) {
	tests := []struct {
		name     string
		attempts int // from one address
		lowered  bool
	}{
		{"scan", 200, false},
		{"callers that retry refused flows twice", 3, true},
		{"callers that retry two requests twice", 5, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFlow()
			f.forwarder.UseLoad(true)
			address := netip.MustParseAddr("127.0.2.1")
			lowered := false // after the first attempts, which may be retries
			for n := range 200 {
				if n%test.attempts == 0 {
					address = address.Next()
				}
				f.packet = openingPacket()
				f.packet.Source = netip.AddrPortFrom(address, uint16(1000+n))
				f.server = f.send(100 * time.Millisecond).Server
				lowered = lowered || n >= 50 && f.forwarder.Chooser.Load.Estimate(f.now, f.server).Limit < 3
			}
			is.Equal(lowered, test.lowered)
		})
	}
}

// TestRetransmissionsReachTheTracker guards against the full limit of a server that acknowledges
// nothing.
func TestRetransmissionsReachTheTracker(t *testing.T) {
	is := is.New(t)
	f := newFlow()
	f.open()
	f.request(time.Millisecond)
	for range 10 {
		f.send(200 * time.Millisecond)
	}
	is.True(f.forwarder.Chooser.Load.Estimate(f.now, f.server).Limit < 3) // of one slot
}

// TestFlowThatMovesCountsOnItsServer guards against a request that stays in flight on the server
// that a flow has left.
func TestFlowThatMovesCountsOnItsServer(t *testing.T) {
	is := is.New(t)
	f := newFlow(newServer("i-01", "bench"), newServer("i-02", "bench"))
	f.open()
	f.request(time.Millisecond)
	left := f.server
	for _, server := range f.current.Pool("bench").All {
		if server != left {
			f.server = server
		}
	}
	f.packet.Cookie = f.server.Cookie.MaskFor(feed)
	f.packet.Seq += 200
	f.send(time.Millisecond)
	is.Equal(f.forwarder.Chooser.Load.Estimate(f.now, left).InFlight, 0.0)
	is.Equal(f.inFlight(), 1.0)
}

// TestRetriedOpeningMovesInFlight guards against servers that look loaded because of openings
// that they did not accept.
func TestRetriedOpeningMovesInFlight(t *testing.T) {
	for _, refused := range []bool{false, true} {
		t.Run(map[bool]string{false: "retransmitted", true: "refused, from another port"}[refused], func(t *testing.T) {
			is := is.New(t)
			f := newFlow(newServer("i-01", "bench"), newServer("i-02", "bench"))
			first := f.send(0).Server
			if refused {
				f.packet.Source = netip.AddrPortFrom(caller.Addr(), caller.Port()+1)
			} else {
				f.packet.Ack = 1
			}
			second := f.send(200 * time.Millisecond).Server
			is.True(first != second)
			estimate := f.forwarder.Chooser.Load.Estimate
			is.Equal(estimate(f.now, first).Total(), 0.0)
			is.Equal(estimate(f.now, second).Total(), 1.0)
		})
	}
}

// TestLatencyReachesTheTracker simulates flows to one slow server of many, and guards against
// estimates that the packets of callers do not reach.
func TestLatencyReachesTheTracker(t *testing.T) {
	is := is.New(t)
	f := newFlow(newServer("i-01", "bench"), newServer("i-02", "bench"), newServer("i-03", "bench"), newServer("i-04", "bench"))
	slow := make(map[fleet.ServerID]int)
	for n := range 400 {
		f.packet = openingPacket()
		f.packet.Source = netip.AddrPortFrom(caller.Addr(), uint16(2000+n))
		f.open()
		latency := 10 * time.Millisecond
		if f.server.ID == "i-01" {
			latency *= 4
		}
		f.request(5 * time.Millisecond) // the caller's time is not the server's
		f.respond(latency)
		for _, server := range f.current.Pool("bench").All {
			estimate := f.forwarder.Chooser.Load.Estimate(f.now, server)
			is.Equal(estimate.Total(), 0.0)
			if estimate.Speed < 0.5 {
				slow[server.ID]++
			}
		}
	}
	is.Equal(len(slow), 1)
	is.True(slow["i-01"] > 20) // until it gets no more flows, because it is busy
}

// TestDemandCountsFirstCopies guards against demand that rises because callers retransmit, or
// that leaves out the flows which are refused.
func TestDemandCountsFirstCopies(t *testing.T) {
	is := is.New(t)
	draining := newServer("i-01", "bench")
	draining.Draining = true
	f := newFlow(draining)
	for n := range 100 {
		f.packet.Source = netip.AddrPortFrom(caller.Addr(), uint16(2000+n))
		f.packet.Ack = 0
		is.Equal(f.send(20*time.Millisecond).Reason, forwarding.NoServer)
		f.packet.Ack = 1
		f.send(0)
	}
	is.Equal(f.forwarder.Chooser.Load.Demand(f.now, "bench"), []load.ServiceDemand{{Service: "bench", PerSecond: 50}})
}

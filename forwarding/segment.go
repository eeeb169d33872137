package forwarding

import (
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
)

// decideSegment forwards a packet of an open flow to the flow's server.
func (f *Forwarder) decideSegment(now time.Time, current *catalogue.Catalogue, confirmed Confirmation, packet Packet) Decision {
	cookie := packet.Cookie.MaskFor(packet.Destination)
	server := current.Server(cookie)
	if server == nil {
		return f.decideWithoutServer(now, current, confirmed.Servers, cookie, packet)
	}
	if f.Chooser.Reachability.FlowsEnded(cookie) && packet.Kind != Reset {
		f.recordEnd(now, current, packet.Destination, f.flows.Remove(&packet))
		return Decision{Action: Refuse, Reason: ServerUnreachable, Server: server}
	}
	decision := Decision{Action: Forward, Reason: ByCookie, Server: server, Cookie: packet.Cookie}
	if packet.Kind == Reset {
		f.recordEnd(now, current, packet.Destination, f.flows.Remove(&packet))
		return decision
	}
	record := f.flows.RecordPacket(now, &packet, cookie)
	f.recordLoad(now, current, server, packet.Destination, &record)
	if record.Latency > 0 {
		f.Chooser.Shortage.RecordResponse(now)
	}
	if record.Latency > 0 && f.Chooser.Loads.RecordResponse(now, server, record.Latency) {
		decision.LoadChanged = true
		decision.Busy = f.Chooser.Loads.Busy(now, cookie)
	}
	switch record.Signal {
	case Retransmission:
		f.recordRetransmission(now, current, cookie, &decision)
		f.recordUnacknowledged(now, current, cookie)
	case Response:
		f.Chooser.Reachability.RecordResponse(now, cookie)
		f.Chooser.Isolation.RecordResponse()
		if f.Chooser.Suspects.RecordResponse(now, cookie) {
			decision.SuspicionCleared = cookie
		}
	case NoSignal:
	}
	return decision
}

// decideSegmentWithoutRoute refuses a packet of an open flow if the configuration was confirmed after the flow had
// been seen: its route was then removed. Otherwise the flow may have been opened through another host with a later
// configuration, and is forwarded by its cookie.
func (f *Forwarder) decideSegmentWithoutRoute(now time.Time, current *catalogue.Catalogue, confirmed Confirmation, packet Packet) Decision {
	openSince := f.flows.OpenSince(&packet)
	decision := Decision{Action: Refuse, Reason: NoRoute}
	if packet.Kind != Reset && confirmedSince(now, confirmed.Routes, openSince) {
		f.recordEnd(now, current, packet.Destination, f.flows.TakeRequest(&packet))
	} else if decision = f.decideSegment(now, current, confirmed, packet); decision.Action != Refuse {
		decision.Reason = RouteUnknown
	}
	decision.OpenSince = openSince
	return decision
}

// decideWithoutServer refuses a packet of a flow that was ended by the removal of its server. Any other flow may be on a
// later start of the server, or on a server that runs without a record. Its packets go to the last known address, until
// the caller retransmits one and the removal was confirmed again after the flow had been seen. An unknown cookie does not
// show that its server was removed, so its packet is dropped.
func (f *Forwarder) decideWithoutServer(now time.Time, current *catalogue.Catalogue, confirmed time.Time, cookie catalogue.Cookie, packet Packet) Decision {
	server := current.Removed()[cookie]
	if server == nil {
		return Decision{Reason: ServerUnknown}
	}
	decision := Decision{Action: Forward, Reason: ServerGone, Server: server, Cookie: packet.Cookie, OpenSince: f.flows.OpenSince(&packet)}
	if packet.Kind == Reset {
		f.recordEnd(now, current, packet.Destination, f.flows.Remove(&packet))
		return decision
	}
	if !f.flows.Ended(&packet) {
		record := f.flows.RecordPacket(now, &packet, cookie)
		f.recordEnd(now, current, packet.Destination, record.Ended)
		if record.Signal != Retransmission || !confirmedSince(now, confirmed, decision.OpenSince) {
			return decision
		}
	}
	decision.Action, decision.Cookie = Refuse, 0
	return decision
}

// confirmedSince reports whether a state was confirmed when a flow had already been seen. Both times are zero if they are
// not known.
func confirmedSince(now, confirmed, openSince time.Time) bool {
	_, known := catalogue.AgeAt(now, confirmed)
	return known && !openSince.IsZero() && !openSince.After(confirmed)
}

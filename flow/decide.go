package flow

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Decide returns what to do with a packet. It is safe for concurrent use. It does
// not allocate, except to grow the records or inquiries of a split slot.
func (r *Router) Decide(now time.Time, in *Input) Decision {
	snapshot := r.snapshot.Load()
	if snapshot == nil || !snapshot.ready {
		return Decision{Reason: ReasonNotReady}
	}
	view := snapshot.services[destinationKey(&in.Key)]
	if view == nil {
		return Decision{Reason: ReasonUnknownAddress}
	}
	hash := hashFlow(&r.Key, &in.Key)
	slot := slotOf(hash)
	entry := view.slots[slot]
	if entry.split() < 0 {
		return view.forward(entry.agreed(), ReasonTable)
	}
	d := decider{router: r, view: view, split: &view.splits[entry.split()], in: in, hash: hash, now: now}
	return d.decide()
}

// forward returns the decision to send a packet to a server, or to reset its flow
// if there is no server or it is not usable.
func (v *serviceView) forward(server uint16, reason Reason) Decision {
	if server == noServer {
		return Decision{Action: Reset, Service: v.name, Reason: ReasonNoServer}
	}
	entry := v.server(server)
	switch {
	case entry.out:
		return Decision{Action: Reset, Service: v.name, Reason: ReasonServerOut}
	case entry.removed:
		return Decision{Action: Reset, Service: v.name, Reason: ReasonServerGone}
	}
	d := entry.forward
	d.Reason = reason
	return d
}

// decider makes the decision for one packet of a split slot.
type decider struct {
	router *Router
	view   *serviceView
	split  *split
	in     *Input
	hash   uint64
	now    time.Time
}

func (d *decider) decide() Decision {
	flows := d.split.flows
	flows.mu.Lock()
	defer flows.mu.Unlock()
	if !d.split.owned && !d.in.Handed && (flows.authority == authorityNone || d.defersToOwner()) {
		return d.handOff()
	}
	reason := ReasonPlaced
	if rec := flows.records.find(d.hash); rec != nil {
		if !d.reusesFiveTuple(rec) {
			return d.forwardRecorded(rec)
		}
		d.removeRecord()
		reason = ReasonReused
	}
	if rec := flows.halfOpen.find(d.hash, seconds(d.now)); rec != nil && d.continuesHalfOpen(rec) {
		return d.forwardHalfOpen(rec)
	}
	switch {
	case flows.authority == authorityNone && d.split.owned:
		return Decision{Service: d.view.name, Reason: ReasonAcquiring}
	case flows.authority == authorityNone:
		return Decision{Service: d.view.name, Reason: ReasonNotOwner}
	case d.mayBeFirst():
		return d.placeFlow(reason)
	case d.awaitsInquiry():
		return Decision{Service: d.view.name, Reason: ReasonInquiring}
	}
	return d.forwardUnrecorded()
}

// orphanWindow is how long after a change of owner an unrecorded flow may be one
// whose record was lost with the former owner.
const orphanWindow = 10 * time.Second

// forwardUnrecorded forwards a packet of a flow that is older than the split, or
// whose record was lost with its host. If the agreed server no longer receives
// packets, only a flow with a lost record can be open, and new flows of the slot
// are placed on the target.
func (d *decider) forwardUnrecorded() Decision {
	agreed, target := d.split.agreed, d.split.target
	if d.now.Sub(d.split.flows.acquired) >= orphanWindow || agreed == noServer || d.view.server(agreed).usable() {
		return d.forward(agreed, ReasonAgreed)
	}
	if target == noServer || !d.view.server(target).usable() {
		return d.forward(agreed, ReasonAgreed)
	}
	return d.forward(target, ReasonOrphaned)
}

// handOff hands a packet off to the slot's owner. It stores the flow of a first
// packet, in case the owner fails before it copies the flow's record.
func (d *decider) handOff() Decision {
	if d.split.owner == "" {
		return Decision{Service: d.view.name, Reason: ReasonNotOwner}
	}
	if d.mayBeFirst() {
		d.router.handedFlows.pushEvicting(handedFlow{d.hash, d.view.index, d.now})
	}
	return Decision{Action: HandOff, Service: d.view.name, Host: d.split.owner, Reason: ReasonSplit}
}

// mayBeFirst reports whether the packet may be the first of its flow. Any UDP
// packet may be.
func (d *decider) mayBeFirst() bool {
	return d.in.SYN && !d.in.ACK || d.isUDP()
}

func (d *decider) isUDP() bool { return d.in.Key.Protocol == fleet.ProtocolUDP }

// reusesFiveTuple reports whether the packet starts a new flow with the five-tuple
// of rec: a SYN after the end of the old flow, or when its server is no longer
// usable. Any other SYN of a recorded flow is a retransmission.
func (d *decider) reusesFiveTuple(rec *record) bool {
	if !d.mayBeFirst() {
		return false
	}
	return rec.flags&recordClosed != 0 || !d.view.server(rec.server).usable()
}

// continuesHalfOpen reports whether the packet belongs to the half-open flow rec.
func (d *decider) continuesHalfOpen(rec *halfOpenRecord) bool {
	if d.mayBeFirst() {
		return !d.reusesFiveTuple(&rec.record)
	}
	return rec.inSequenceWindow(d.in.Sequence)
}

// removeRecord removes the record of the flow.
func (d *decider) removeRecord() {
	d.split.flows.records.remove(d.hash)
	d.router.recordCount.Add(-1)
}

// forwardRecorded forwards a packet of a recorded flow.
func (d *decider) forwardRecorded(rec *record) Decision {
	rec.seen = seconds(d.now)
	rec.flags &^= recordCopy
	reason := ReasonRecord
	if rec.flags&recordClosed != 0 {
		reason = ReasonLate
	}
	if d.in.FIN || d.in.RST {
		rec.flags |= recordClosed
	}
	server := rec.server
	if !d.view.server(server).usable() {
		d.removeRecord()
	}
	return d.forward(server, reason)
}

// forwardHalfOpen forwards a packet of a half-open flow: a retransmission of the
// first packet, or the second, which establishes the flow.
func (d *decider) forwardHalfOpen(rec *halfOpenRecord) Decision {
	server := rec.server
	if d.mayBeFirst() && !d.isUDP() {
		return d.forward(server, ReasonRecord)
	}
	if server != d.split.agreed || d.isUDP() || d.router.hasPartitioned.Load() {
		d.recordEstablished(server)
	}
	*rec = halfOpenRecord{}
	return d.forward(server, ReasonRecord)
}

func (d *decider) recordEstablished(server uint16) {
	rec := record{hash: d.hash, seen: seconds(d.now), server: server}
	if d.in.FIN || d.in.RST {
		rec.flags |= recordClosed
	}
	d.split.flows.records.insert(rec)
	d.router.recordCount.Add(1)
	if !d.router.copyQueue.tryPush(queuedFlow{d.hash, d.view.index}) {
		d.router.stats.uncopied.Add(1)
	}
}

// placeFlow chooses a server for a new flow and records the flow as half-open.
func (d *decider) placeFlow(reason Reason) Decision {
	server, refusal := d.chooseServer()
	if server == noServer {
		action := Reset
		if refusal == ReasonUnsettled {
			action = Drop
		}
		return Decision{Action: action, Service: d.view.name, Reason: refusal}
	}
	rec := halfOpenRecord{
		record:      record{hash: d.hash, seen: seconds(d.now), server: server},
		sequence:    d.in.Sequence,
		hasSequence: !d.isUDP(),
	}
	if d.split.flows.halfOpen.insert(rec) {
		d.router.stats.halfOpenEvicted.Add(1)
	}
	return d.forward(server, reason)
}

// chooseServer returns the server for a new flow, or the reason why there is none.
func (d *decider) chooseServer() (uint16, Reason) {
	agreed := d.split.agreed
	if d.split.flows.authority != authorityFull {
		return d.chooseUnsettled(agreed)
	}
	if d.isUDP() && d.mayPredateSplit() {
		return d.chooseUnrecordedUDP(agreed)
	}
	server := d.admittingServer()
	if server == noServer {
		return noServer, ReasonNoServer
	}
	if server == agreed || d.router.hasRoom() {
		return server, ""
	}
	if d.tryAdmit(agreed) {
		return agreed, ""
	}
	return noServer, ReasonRecordsFull
}

// chooseUnsettled keeps new flows on the agreed server, to which hosts without
// the split forward their packets.
func (d *decider) chooseUnsettled(agreed uint16) (uint16, Reason) {
	if agreed == noServer {
		return noServer, ReasonUnsettled
	}
	entry := d.view.server(agreed)
	if !entry.usable() || entry.admission == AdmitByCredit && !d.tryAdmit(agreed) {
		return noServer, ReasonUnsettled
	}
	return agreed, ""
}

// mayPredateSplit reports whether an unrecorded UDP flow may be older than the
// split. UDP packets do not indicate the start of a flow, so all unrecorded flows
// are assumed to be older for a while.
func (d *decider) mayPredateSplit() bool {
	agreed := d.split.agreed
	if agreed == noServer || !d.view.server(agreed).usable() {
		return false
	}
	window := d.view.idleTimeout
	if d.view.server(agreed).admission == AdmitNone {
		window = udpDrainWindow
	}
	return d.now.Sub(d.split.since) < window
}

// chooseUnrecordedUDP keeps an unrecorded UDP flow on the agreed server. If that
// server admits by credit, the packet is dropped without credit: the flow may be
// new.
func (d *decider) chooseUnrecordedUDP(agreed uint16) (uint16, Reason) {
	if d.view.server(agreed).admission == AdmitByCredit && !d.tryAdmit(agreed) {
		return noServer, ReasonUnsettled
	}
	return agreed, ""
}

// admittingServer returns a server that admits a new flow: the target, else the
// next in the slot's order of preference, else any that admits freely.
func (d *decider) admittingServer() uint16 {
	if d.tryAdmit(d.split.target) {
		return d.split.target
	}
	for _, server := range d.split.preference {
		if server != d.split.target && d.tryAdmitFallback(server) {
			return server
		}
	}
	servers := len(d.view.servers)
	for i := range servers {
		server := uint16((d.hash + uint64(i)) % uint64(servers))
		entry := &d.view.servers[server]
		if entry.weighted && entry.usable() && entry.admission == AdmitFreely {
			return server
		}
	}
	return noServer
}

// tryAdmit reports whether the server of first choice admits a new flow. It uses
// up the credit for the flow.
func (d *decider) tryAdmit(server uint16) bool {
	return d.tryAdmitWith(server, d.router.Credit)
}

// tryAdmitFallback is tryAdmit for any other server.
func (d *decider) tryAdmitFallback(server uint16) bool {
	if d.router.FallbackCredit == nil {
		return d.tryAdmit(server)
	}
	return d.tryAdmitWith(server, d.router.FallbackCredit)
}

func (d *decider) tryAdmitWith(server uint16, credit func(fleet.ServerID) bool) bool {
	if server == noServer || !d.view.server(server).usable() {
		return false
	}
	entry := d.view.server(server)
	switch entry.admission {
	case AdmitFreely:
		return true
	case AdmitByCredit:
		return credit != nil && credit(entry.forward.Server)
	}
	return false
}

// forward returns the decision to forward the packet to server, and records the time
// if server is not the target.
func (d *decider) forward(server uint16, reason Reason) Decision {
	decision := d.view.forward(server, reason)
	if server != d.split.target && decision.Action == Forward {
		d.split.flows.lastOffTarget = d.now
	}
	return decision
}

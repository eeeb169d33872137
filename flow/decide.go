package flow

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Decide tells what to do with a packet. It may be called by any goroutine, and
// allocates nothing, except when the records of a split slot outgrow their room.
func (r *Router) Decide(now time.Time, in *Input) Decision {
	s := r.snapshot.Load()
	if s == nil || !s.ready {
		return Decision{Reason: ReasonNotReady}
	}
	v := s.services[destinationKey(&in.Key)]
	if v == nil {
		return Decision{Reason: ReasonUnknownAddress}
	}
	hash := hashFlow(&r.Key, &in.Key)
	slot := slotOf(hash)
	entry := v.slots[slot]
	if entry.split() < 0 {
		return v.forward(entry.agreed(), ReasonTable)
	}
	d := decider{router: r, view: v, split: &v.splits[entry.split()], in: in, hash: hash, now: now}
	return d.decide()
}

// forward sends a packet to a server, or ends the flow if there is none.
func (v *serviceView) forward(server uint16, reason Reason) Decision {
	if server == noServer {
		return Decision{Action: Reset, Service: v.name, Reason: ReasonNoServer}
	}
	s := v.server(server)
	switch {
	case s.out:
		return Decision{Action: Reset, Service: v.name, Reason: ReasonServerOut}
	case s.gone:
		return Decision{Action: Reset, Service: v.name, Reason: ReasonServerGone}
	}
	d := s.forward
	d.Reason = reason
	return d
}

// decider decides about one packet of a split slot.
type decider struct {
	router *Router
	view   *serviceView
	split  *split
	in     *Input
	hash   uint64
	now    time.Time
}

func (d *decider) decide() Decision {
	f := d.split.live
	f.mu.Lock()
	defer f.mu.Unlock()
	if !d.split.owned && !d.in.Handed && (f.authority == authorityNone || d.yields()) {
		return d.handOff()
	}
	reason := ReasonPlaced
	if r := f.records.find(d.hash); r != nil {
		if !d.replaces(r) {
			return d.recorded(r)
		}
		d.forget()
		reason = ReasonReused
	}
	if r := f.halfOpen.find(d.hash, seconds(d.now)); r != nil && d.continues(r) {
		return d.opening(r)
	}
	switch {
	case f.authority == authorityNone && d.split.owned:
		return Decision{Service: d.view.name, Reason: ReasonAcquiring}
	case f.authority == authorityNone:
		return Decision{Service: d.view.name, Reason: ReasonNotOwner}
	case d.first():
		return d.place(reason)
	case d.inquire():
		return Decision{Service: d.view.name, Reason: ReasonInquiring}
	}
	return d.unrecorded()
}

// orphanTime is for how long after a change of owner flows may turn up whose records
// died with the former one.
const orphanTime = 10 * time.Second

// unrecorded forwards a packet of a flow that is older than the split, or whose
// record died with its host. If the agreed server takes no packets any more, only the
// latter can be open, and it is where new flows of the slot go.
func (d *decider) unrecorded() Decision {
	agreed, target := d.split.agreed, d.split.target
	if d.now.Sub(d.split.live.acquired) >= orphanTime || agreed == noServer || d.view.server(agreed).usable() {
		return d.send(agreed, ReasonAgreed)
	}
	if target == noServer || !d.view.server(target).usable() {
		return d.send(agreed, ReasonAgreed)
	}
	return d.send(target, ReasonOrphaned)
}

// handOff hands a packet to the slot's owner, and remembers a first packet in
// case the owner dies before it has copied its record.
func (d *decider) handOff() Decision {
	if d.split.owner == "" {
		return Decision{Service: d.view.name, Reason: ReasonNotOwner}
	}
	if d.first() {
		d.router.handed.push(handedFlow{d.hash, d.view.index, d.now})
	}
	return Decision{Action: HandOff, Service: d.view.name, Host: d.split.owner, Reason: ReasonSplit}
}

// first reports whether the packet may be the first of its flow. For UDP any
// packet may be.
func (d *decider) first() bool {
	return d.in.SYN && !d.in.ACK || d.udp()
}

func (d *decider) udp() bool { return d.in.Key.Protocol == fleet.ProtocolUDP }

// replaces reports whether the packet begins a new flow with the five-tuple of r:
// a SYN after the end of the old flow, or when its server is no longer there. Any
// other SYN of a recorded flow is a retransmission.
func (d *decider) replaces(r *record) bool {
	if !d.first() {
		return false
	}
	return r.flags&recordClosed != 0 || !d.view.server(r.server).usable()
}

// continues reports whether the packet belongs to the half-open flow r.
func (d *decider) continues(r *halfOpenRecord) bool {
	if d.first() {
		return !d.replaces(&r.record)
	}
	return r.continues(d.in.Sequence)
}

// forget drops the record of the flow.
func (d *decider) forget() {
	d.split.live.records.remove(d.hash)
	d.router.count.Add(-1)
}

// recorded forwards a packet of a recorded flow.
func (d *decider) recorded(r *record) Decision {
	r.seen = seconds(d.now)
	r.flags &^= recordCopy
	reason := ReasonRecord
	if r.flags&recordClosed != 0 {
		reason = ReasonLate
	}
	if d.in.FIN || d.in.RST {
		r.flags |= recordClosed
	}
	server := r.server
	if !d.view.server(server).usable() {
		d.forget()
	}
	return d.send(server, reason)
}

// opening forwards a packet of a half-open flow: the first one again, or the
// second, with which the flow is established.
func (d *decider) opening(r *halfOpenRecord) Decision {
	server := r.server
	if d.first() && !d.udp() {
		return d.send(server, ReasonRecord)
	}
	if server != d.split.agreed || d.udp() || d.router.doubtful.Load() {
		d.establish(server)
	}
	*r = halfOpenRecord{}
	return d.send(server, ReasonRecord)
}

func (d *decider) establish(server uint16) {
	r := record{hash: d.hash, seen: seconds(d.now), server: server}
	if d.in.FIN || d.in.RST {
		r.flags |= recordClosed
	}
	d.split.live.records.insert(r)
	d.router.count.Add(1)
	if !d.router.copies.add(copiedFlow{d.hash, d.view.index}) {
		d.router.stats.uncopied.Add(1)
	}
}

// place chooses a server for a new flow.
func (d *decider) place(reason Reason) Decision {
	server, refusal := d.choose()
	if server == noServer {
		action := Reset
		if refusal == ReasonUnsettled {
			action = Drop
		}
		return Decision{Action: action, Service: d.view.name, Reason: refusal}
	}
	r := halfOpenRecord{
		record:      record{hash: d.hash, seen: seconds(d.now), server: server},
		sequence:    d.in.Sequence,
		hasSequence: !d.udp(),
	}
	if d.split.live.halfOpen.insert(r) {
		d.router.stats.halfOpenEvicted.Add(1)
	}
	return d.send(server, reason)
}

// choose returns the server for a new flow, or the reason why there is none.
func (d *decider) choose() (uint16, Reason) {
	agreed := d.split.agreed
	if d.split.live.authority != authorityFull {
		return d.chooseUnsettled(agreed)
	}
	if d.udp() && d.learning() {
		return d.chooseLearning(agreed)
	}
	server := d.admitting()
	if server == noServer {
		return noServer, ReasonNoServer
	}
	if server == agreed || d.router.hasRoom() {
		return server, ""
	}
	if d.admits(agreed) {
		return agreed, ""
	}
	return noServer, ReasonRecordsFull
}

// chooseUnsettled keeps new flows on the agreed server, where hosts that do not
// know of the split send their packets.
func (d *decider) chooseUnsettled(agreed uint16) (uint16, Reason) {
	if agreed == noServer {
		return noServer, ReasonUnsettled
	}
	s := d.view.server(agreed)
	if !s.usable() || s.admission == AdmitByCredit && !d.admits(agreed) {
		return noServer, ReasonUnsettled
	}
	return agreed, ""
}

// learning reports whether an unrecorded UDP flow may be older than the split.
// Nothing in a UDP packet tells, so for a while all are taken to be.
func (d *decider) learning() bool {
	agreed := d.split.agreed
	if agreed == noServer || !d.view.server(agreed).usable() {
		return false
	}
	window := d.view.idle
	if d.view.server(agreed).admission == AdmitNone {
		window = udpDrainWindow
	}
	return d.now.Sub(d.split.since) < window
}

// chooseLearning keeps an unrecorded UDP flow on the agreed server. Where that one
// is cold, its packets wait for credit: the flow may be new.
func (d *decider) chooseLearning(agreed uint16) (uint16, Reason) {
	if d.view.server(agreed).admission == AdmitByCredit && !d.admits(agreed) {
		return noServer, ReasonUnsettled
	}
	return agreed, ""
}

// admitting returns a server that takes a new flow: the target, else the next in
// the slot's order of preference, else any.
func (d *decider) admitting() uint16 {
	if d.admits(d.split.target) {
		return d.split.target
	}
	for _, server := range d.split.preference {
		if server != d.split.target && d.admitsSpare(server) {
			return server
		}
	}
	n := len(d.view.servers)
	for i := range n {
		server := uint16((d.hash + uint64(i)) % uint64(n))
		s := &d.view.servers[server]
		if s.weighted && s.usable() && s.admission == AdmitFreely {
			return server
		}
	}
	return noServer
}

// admits reports whether the server of first choice takes a new flow, and takes
// the credit for it.
func (d *decider) admits(server uint16) bool {
	return d.admitsWith(server, d.router.Credit)
}

// admitsSpare is admits for another server.
func (d *decider) admitsSpare(server uint16) bool {
	if d.router.Spare == nil {
		return d.admits(server)
	}
	return d.admitsWith(server, d.router.Spare)
}

func (d *decider) admitsWith(server uint16, credit func(fleet.ServerID) bool) bool {
	if server == noServer || !d.view.server(server).usable() {
		return false
	}
	s := d.view.server(server)
	switch s.admission {
	case AdmitFreely:
		return true
	case AdmitByCredit:
		return credit != nil && credit(s.forward.Server)
	}
	return false
}

// send forwards to server, and notes the use of any other than the target.
func (d *decider) send(server uint16, reason Reason) Decision {
	decision := d.view.forward(server, reason)
	if server != d.split.target && decision.Action == Forward {
		d.split.live.lastOther = d.now
	}
	return decision
}

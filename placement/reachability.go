package placement

import (
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
)

// Reachability holds the servers that are being probed, because a packet to them was
// retransmitted or because other servers of their data centre failed, and those that
// accept no connection. The zero value is ready to use. It is not safe for concurrent
// use.
type Reachability struct {
	servers map[catalogue.Cookie]probeState
}

// probeState is the state of a server that is being probed.
type probeState struct {
	unreachable bool
	// flowsKept means that the flows of the unreachable server were not ended, because
	// no other server could accept them.
	flowsKept bool
	// lastResponse is when a caller last acknowledged data from the server.
	lastResponse time.Time
}

// StartProbing marks a server that may have failed as being probed. It reports whether
// it was not marked before, so that its probes should start now.
func (r *Reachability) StartProbing(server catalogue.Cookie) bool {
	if _, probing := r.servers[server]; probing {
		return false
	}
	r.put(server, probeState{})
	return true
}

// RecordResponse records that a caller acknowledged data from a server. A concurrent
// probe without a response was therefore lost or delayed.
func (r *Reachability) RecordResponse(now time.Time, server catalogue.Cookie) {
	if state, probing := r.servers[server]; probing {
		state.lastResponse = now
		r.servers[server] = state
	}
}

// RecordProbe records the result of a probe that began at the given time. It reports
// whether the server's flows should be ended now: the server has become unreachable,
// and its address refuses connections or another server can accept the flows.
func (r *Reachability) RecordProbe(began time.Time, server catalogue.Cookie, evidence Evidence, alternative bool) bool {
	state := r.servers[server]
	if flowsEnded := state.unreachable && !state.flowsKept; evidence == Silent && !flowsEnded && !state.lastResponse.Before(began) {
		evidence = Unclear
	}
	switch evidence {
	case Accepted:
		delete(r.servers, server)
		return false
	case Full:
		r.put(server, probeState{lastResponse: state.lastResponse}) // it is probed until it accepts a connection
		return false
	case Unclear:
		return false
	case Refused, Silent:
	}
	flowsKept := evidence == Silent && !alternative && (!state.unreachable || state.flowsKept)
	r.put(server, probeState{unreachable: true, flowsKept: flowsKept})
	return !flowsKept && (!state.unreachable || state.flowsKept)
}

func (r *Reachability) put(server catalogue.Cookie, state probeState) {
	if r.servers == nil {
		r.servers = make(map[catalogue.Cookie]probeState)
	}
	r.servers[server] = state
}

// Forget discards the state of a server.
func (r *Reachability) Forget(server catalogue.Cookie) { delete(r.servers, server) }

// Probing reports whether a server is being probed.
func (r *Reachability) Probing(server catalogue.Cookie) bool {
	_, probing := r.servers[server]
	return probing
}

// Unreachable reports whether a server accepts no connection.
func (r *Reachability) Unreachable(server catalogue.Cookie) bool {
	return r.servers[server].unreachable
}

// FlowsEnded reports whether the flows of an unreachable server have been ended.
func (r *Reachability) FlowsEnded(server catalogue.Cookie) bool {
	state := r.servers[server]
	return state.unreachable && !state.flowsKept
}

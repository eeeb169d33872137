// Package flow decides which backend server gets the packets of a flow.
//
// Every entry host may get any packet of any flow, and hosts learn of changes
// at different moments. All hosts compute the same slot table for a service
// from the same View; the keyed hash of a flow's five-tuple picks a slot, and
// the slot names a server. As long as a slot has not moved, a decision is one
// hash and one array read, and no state is kept about its flows.
//
// When a View moves a slot, the slot is split: it has an agreed server, which
// has the flows from before the change, and a target server, which gets the
// flows from after it. Every host hands the packets of a split slot to the
// slot's owner, one host that rendezvous hashing picks. The owner gives new
// flows to the agreed server until the View is settled, that is until every
// live host knows that the slot is split, and to the target from then on. It
// records only the flows that are not on the agreed server, and copies these
// records to its successor. When no flow has used another server than the
// target for the idle timeout, the owner retires the split.
//
// The control goroutine of a host calls Install, Receive, Tick and Stop, and
// sends the messages that they return. The traffic goroutines call Decide.
// The package does no I/O and reads no clock.
package flow

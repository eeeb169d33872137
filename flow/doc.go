// Package flow chooses the backend server that receives the packets of a flow.
//
// Any entry host may receive any packet of any flow, and hosts learn of
// configuration changes at different times. All hosts compute the same slot
// table for a service from the same View; the keyed hash of a flow's five-tuple
// selects a slot, and the slot determines the server. Until a slot changes its
// server, a decision is one hash and one array read, and no per-flow state is
// kept.
//
// When a View changes the server of a slot, the slot is split: its agreed server
// keeps the flows opened before the change, and its target server receives the
// flows opened after it. Every host hands the packets of a split slot off to the
// slot's owner, a single host selected by rendezvous hashing. The owner assigns
// new flows to the agreed server until the View is settled, that is, until every
// live host has acknowledged the split, and to the target from then on. It
// records only the flows that are not on the agreed server, and copies these
// records to its successor. Once no flow has used a server other than the target
// for the idle timeout, the owner retires the split.
//
// The control goroutine of a host calls Install, Receive, Tick and Stop, and
// sends the messages that they return. The traffic goroutines call Decide.
// The package performs no I/O and does not read the clock.
package flow

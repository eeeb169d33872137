// Package placement selects the backend server of a new flow and tracks which
// servers are unresponsive, busy or warming up.
//
// A host sees only the packets that callers send, since backend servers reply to
// callers directly. A retransmitted packet therefore indicates an unresponsive
// server, and an acknowledgement that advances indicates a responsive one.
// Suspicion redirects new flows only; it never ends an open flow.
//
// The package does no I/O and reads no clock.
package placement

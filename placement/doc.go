// Package placement chooses the backend server of a new flow, and keeps the
// evidence by which servers that do not answer are avoided.
//
// A host sees only the packets that callers send, since backend servers answer
// callers directly. A repeated packet is therefore the sign of a server that
// is silent, and an acknowledgement that advances is the sign of one that
// answers. Suspicion moves new flows only; it never ends an open flow.
//
// Nothing here does I/O or reads a clock.
package placement

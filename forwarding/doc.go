// Package forwarding decides what becomes of each packet of a caller: it is
// sent on to a backend server, answered with a reset, or dropped.
//
// The server of an open flow is named by the cookie that the packet carries, so
// any host can forward any packet at any time without a record of the flow.
// Nothing here does I/O or reads a clock.
package forwarding

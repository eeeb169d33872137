// Package forwarding decides how each packet of a caller is handled: it is forwarded
// to a backend server, refused with a reset, or dropped.
//
// The cookie in a packet identifies the server of an open flow, so any host can
// forward any packet at any time without per-flow state.
//
// The package does no I/O and reads no clock.
package forwarding

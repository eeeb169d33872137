// Package control combines the decision packages into the control state of one
// entry host. A Core processes one typed Event at a time, together with the time
// at which it happened, and returns an Output with the messages to send and the
// verdicts on claims. It performs no I/O, starts no goroutines and reads no clock,
// so that a running host, the replay of a trace and tests use the same code.
//
// Step must be called from a single goroutine. Traffic goroutines use the results
// of Router, Credit and Snapshot, which are safe for concurrent use.
package control

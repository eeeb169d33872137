// Package control composes the decision packages into the control state of one
// entry host. A Core takes one typed Event at a time, with the time at which it
// happened, and returns an Output: messages to send and answers to give. It does
// no I/O, starts no goroutine and reads no clock, so that the shell, a recorded
// trace and a test drive the same code.
//
// One goroutine calls Step. Traffic goroutines use what Router, Credit and
// Snapshot return; these are safe for concurrent use.
package control

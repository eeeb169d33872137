// Package trial runs the whole system for a short time on loopback, in one
// process: entry hosts in several data centres between small stand-ins of the
// outside world. It changes things meanwhile, as operators and faults do, and
// reports what callers and backend servers saw.
//
// Run a Trial and print its Report with WriteTable, or encode it as JSON. A
// report lists as faults what must never happen; Passed tells whether there
// were none.
package trial

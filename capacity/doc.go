// Package capacity measures the cost of the control state of one entry host in a
// fleet of a given size. One control.Core runs in virtual time against simulated
// peers that only respond to messages and make no decisions, so that a fleet of
// hundreds of hosts fits into one process.
//
// Measure takes a Size and reports the cost of each Phase. The benchmarks of this
// package produce the figures in docs/CAPACITY.md.
package capacity

// Package capacity measures what the control state of one entry host costs in a
// fleet of a given size. One real control.Core runs in virtual time against
// peers that only answer: they take no part in any decision, so that a fleet of
// hundreds of hosts fits into one process.
//
// Measure takes a Size and returns what the Core spent in each Phase. The
// figures in docs/CAPACITY.md come from it, through the benchmark of this
// package.
package capacity

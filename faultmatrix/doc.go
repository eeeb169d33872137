// Package faultmatrix injects every fault at every step of every procedure and
// checks the guarantees that must always hold.
//
// A Simulation connects the control cores of a few entry hosts through simple
// fakes: a network with delays, loss and partitions, a platform store, backend
// servers and callers. Time is virtual and all randomness comes from one seed, so
// a Cell, one run of a procedure with its faults, always gives the same result.
// Cell.Run runs a cell and WriteTable prints the results.
//
// The fakes and the checks do not rely on the decisions under test. The checks compare
// what callers and backend servers observed and which configuration revisions the
// hosts report.
package faultmatrix

// Package demo runs the whole system for a short time on loopback, in one
// process: entry hosts in several data centres, and stand-ins for callers,
// backend servers, the network fabric and the platform. It applies planned
// changes and faults, and reports what callers and backend servers observed.
//
// Run a Demo and print its Report with WriteTable, or encode it as JSON. A
// report lists violated rules as faults; Passed reports whether there were none.
package demo

// Package load learns how much load each backend server handles well.
//
// A host observes only the packets of callers: when a request is sent and when its
// response is acknowledged. Hosts of a data centre exchange what they observe in reports.
//
// The package does no I/O and reads no clock.
package load

// Package soak runs entry hosts as separate processes on loopback, between the
// stand-ins for the users' platform, and injects faults from outside: signals,
// and a proxy on the way to the store that delays, resets, silences and cuts one
// way. It checks the promises by what callers and backend servers see.
//
// A seed fixes which faults come when; overlapping ones included.
package soak

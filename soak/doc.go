// Package soak runs entry hosts as separate processes on loopback, between the
// stand-ins for the users' platform, and injects faults from outside: signals to
// the processes, and proxies between the hosts and the store that delay, reset or
// discard traffic in one or both directions. It checks the guarantees of the system
// by what callers and backend servers observe, and that no host logs or exports an
// impossible age.
//
// The seed determines the faults and their times. Faults may overlap.
package soak

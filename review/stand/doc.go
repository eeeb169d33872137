// Package stand runs entry hosts as separate processes on loopback, between small
// stand-ins for the users' store, routers, targets and requesters. The cases of the
// review use it.
package stand

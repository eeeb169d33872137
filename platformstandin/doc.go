// Package platformstandin simulates the users' platform: the metadata store and
// its faults, targets that discard packets tagged with the ID of another target,
// clients that retransmit packets and retry requests, and routers that hash flows
// over entry hosts.
//
// A [Site] runs entry hosts between them, in one process and on an in-memory
// network, counts what clients and targets observe, and checks the ages that hosts
// log and export. In a testing/synctest bubble a run takes virtual time; elsewhere it
// takes real time.
package platformstandin

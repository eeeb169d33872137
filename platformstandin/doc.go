// Package platformstandin is a small stand-in for the users' platform: the
// metadata store with its faults, targets that take flows by id, clients that
// repeat what is not answered, and routers that hash.
//
// A [Site] puts entry hosts in between, in one process and on an in-memory
// network, and counts what clients and targets see. In a testing/synctest bubble
// a run takes virtual time; elsewhere it takes as long as it lasts.
package platformstandin

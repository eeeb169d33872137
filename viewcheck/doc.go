// Package viewcheck simulates entry hosts of the users' platform to find histories in
// which a host holds a state that the store never had.
//
// A few hosts, built from catalogue.Tracker, Follower and Listing, follow a store whose
// serializable reads are stale, whose history is dropped and which is restored from older
// copies, and follow each other over feeds that break, in an order that the seed determines. After each step every record
// that a host holds must be as it was at the version that the host reports, or at a
// later one; the version of a host never decreases while it runs; and at the end, all
// hosts reach the latest version.
package viewcheck

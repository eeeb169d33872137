// Package viewcheck looks for histories in which an entry host of the users' platform
// comes to believe what never was true.
//
// A few hosts, made of the decisions that they run on (catalogue.Tracker, Follower and
// Listing), follow a store whose serializable reads are old and whose history is
// dropped, and learn from each other over feeds that break, in an order that the seed
// fixes. After each step every record that a host knows must be as it was at the
// version that the host claims, or at a later one; versions never go back while a host
// lives; and at the end, all reach the latest version.
package viewcheck

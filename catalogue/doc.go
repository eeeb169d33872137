// Package catalogue tracks the state that an entry host forwards by: the configuration
// in force, the data centres that operators have taken out of service, the registered
// backend servers and the other entry hosts.
//
// A [Tracker] applies the updates read from the platform's store, each with a time, and
// returns an immutable [Catalogue] after each change. A Tracker is not safe for
// concurrent use; a Catalogue is. The package performs no I/O and reads no clock.
package catalogue

// Package catalogue keeps what an entry host knows of the world it forwards in:
// the configuration in force, the data centres that operators have taken out
// and the backend servers that are registered.
//
// A [Tracker] takes in what the platform's store answers, as typed events with
// a time, and returns an immutable [Catalogue] after each change. The Tracker
// belongs to one goroutine; a Catalogue may be read by any number of them.
// Nothing here does I/O or reads a clock.
package catalogue

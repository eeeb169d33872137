// Package backend keeps the state of backend servers as one entry host sees it,
// and decides which of them may get new work.
//
// A Pool belongs to the control goroutine. It is told about changes of the
// configuration and of the live hosts (Install), about what the host's own
// traffic saw (Observe), about messages of peers (Receive) and about the passing
// of time (Tick). Each call returns the messages to send.
//
// Every backend server has one keeper, the live host that rendezvous hashing
// names. Only the keeper makes records of the server's phase, and only the
// keeper hands out credit, the right to give a cold server a number of new
// flows or requests until a set time. A keeper counts only on the share of the
// bound that belongs to hosts which promised it to them, so that two keepers
// that do not know of each other never exceed the bound together.
//
// Credit and Picker are safe for concurrent use by traffic goroutines.
package backend

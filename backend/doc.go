// Package backend tracks the state of backend servers as seen by one entry host,
// and decides which of them may receive new work.
//
// A Pool is driven by the control goroutine. Its input is changes of the
// configuration and of the live hosts (Install), observations of the host's own
// traffic (Observe), messages from peers (Receive) and the passing of time (Tick).
// Each call returns the messages to send.
//
// Each backend server has one allocator: the live host selected by rendezvous
// hashing. Only the allocator creates records of the server's phase, and only it
// grants credit: the right to send a cold server a number of new flows or requests
// until a deadline. An allocator uses only the share of the bound that belongs to
// hosts which have promised it to this allocator. Two allocators that are unaware
// of each other therefore never exceed the bound together.
//
// Credit and Picker are safe for concurrent use by traffic goroutines.
package backend

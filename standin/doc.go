// Package standin holds small stand-ins of the world around the entry hosts: a
// fabric which sprays packets at random, backend servers with bounded slots,
// connections and a cold start, and callers of flows and of requests. They run
// on loopback, in one process with the entry hosts, or in tests.
//
// Callers and servers count what they themselves saw. A result of a trial is
// made of those counts, never of what an entry host says about itself.
//
// The decisions of each stand-in are methods which take the time (Tick,
// Receive, Arrive); Run methods add sockets and clocks to them. Random choices
// come from a seeded source.
package standin

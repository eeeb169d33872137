// Package standin emulates the environment of the entry hosts: a fabric that
// sprays packets at random, backend servers with limited slots, connections and
// a warm-up after each start, and callers of flow and request services. They run
// on loopback, in one process with the entry hosts, or in tests.
//
// Callers and servers count what they observe themselves. The results of a
// demonstration are built from these counts, never from what an entry host reports
// about itself.
//
// The logic of each type is in methods that take the current time (Tick, Receive,
// RecordArrival); Run methods add sockets and clocks. Random choices come from a
// seeded source.
package standin

// Package replay runs recorded traces against their stated outcomes. A trace
// holds the events of one entry host with their times; replay gives them to a
// new control state and compares its decisions with what the trace states.
//
// Read reads a trace, Run runs it, and a Recorder writes one while a host runs.
// docs/TRACES.md describes the format.
package replay

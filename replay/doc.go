// Package replay replays recorded traces and checks the resulting decisions. A
// trace holds the events of one entry host with their times. Replay passes them
// to a new control state and compares its decisions with the expected ones in
// the trace.
//
// Read parses a trace, Run replays it, and Recorder records one while a host
// runs. docs/TRACES.md describes the format.
package replay

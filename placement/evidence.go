package placement

import "slices"

// Evidence is the result of probing a server.
type Evidence int

// Probe results.
const (
	// Unclear means that neither the server nor a witness responded. The host itself
	// may be stalled.
	Unclear Evidence = iota
	// Accepted means that the server accepted a connection.
	Accepted
	// Refused means that the address refused connections or that another server
	// responded there.
	Refused
	// Silent means that the server did not respond, but a witness did.
	Silent
	// Full means that connections were reset rather than refused: a process listens at the address, but it
	// is at its limit of connections. It says nothing about the open flows of the server.
	Full
)

var evidenceNames = [...]string{"unclear", "accepted", "refused", "silent", "full"}

// String returns the name of the evidence.
func (e Evidence) String() string { return evidenceNames[e] }

// ParseEvidence returns the evidence with the given name.
func ParseEvidence(name string) (Evidence, bool) {
	i := slices.Index(evidenceNames[:], name)
	return Evidence(max(i, 0)), i >= 0
}

package placement

import "slices"

// Evidence is what a probe of a server has found.
type Evidence int

// The kinds of evidence.
const (
	// Unclear: nothing answered, nor did the witness. The host itself may be held up.
	Unclear Evidence = iota
	// Accepted: the server accepted a connection.
	Accepted
	// Refused: the address refused connections, or another server answered there.
	Refused
	// Silent: nothing answered, while the witness did.
	Silent
)

var evidenceNames = [...]string{"unclear", "accepted", "refused", "silent"}

// String returns the name of the evidence.
func (e Evidence) String() string { return evidenceNames[e] }

// ParseEvidence returns the evidence of a name.
func ParseEvidence(name string) (Evidence, bool) {
	i := slices.Index(evidenceNames[:], name)
	return Evidence(max(i, 0)), i >= 0
}

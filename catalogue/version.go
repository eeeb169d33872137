package catalogue

import (
	"strconv"

	"github.com/rattanthread/rattanthread/fleet"
)

// Revision is a revision of the platform's store. It increases with each change of an epoch.
// A restored store assigns the revisions after that of the copy again.
type Revision uint64

// revisionBits is the number of low bits of a Version that hold the revision.
const revisionBits = 48

// MaxRevision is the highest revision that a Version can hold.
const MaxRevision Revision = 1<<revisionBits - 1

// Version is a state of the platform's store: the epoch in the high bits, and a revision of
// that epoch. Versions are ordered like the states, also across restorations. Zero precedes
// all states.
type Version uint64

// NewVersion returns the version of a revision of an epoch. A revision above MaxRevision counts
// as MaxRevision, so that it never reaches into the next epoch.
func NewVersion(e fleet.StoreEpoch, r Revision) Version {
	return Version(e)<<revisionBits | Version(min(r, MaxRevision))
}

// Epoch returns the epoch of the version.
func (v Version) Epoch() fleet.StoreEpoch { return fleet.StoreEpoch(v >> revisionBits) }

// Revision returns the revision of the version.
func (v Version) Revision() Revision { return Revision(v) & MaxRevision }

// String returns the revision, after the epoch and a colon if the epoch is known.
func (v Version) String() string {
	revision := strconv.FormatUint(uint64(v.Revision()), 10)
	if v.Epoch() == 0 {
		return revision
	}
	return strconv.FormatUint(uint64(v.Epoch()), 10) + ":" + revision
}

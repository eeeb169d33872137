package catalogue

import (
	"sync"
	"time"
)

// ReadIndex is the version that the latest linearizable read returned. All sources share the
// revisions of the store, so records of any source at this version or a later one are at least as
// recent as that read. The zero value is ready to use. It is safe for concurrent use.
type ReadIndex struct {
	mu      sync.Mutex
	version Version
	at      time.Time
}

// Observe records that the store had a version at a time, as a linearizable read shows. It
// records nothing if the time is impossible (see [CheckConfirmation]).
func (i *ReadIndex) Observe(now time.Time, version Version, at time.Time) {
	if CheckConfirmation(now, at) != nil {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if at.After(i.at) {
		i.version, i.at = version, at
	}
}

// ConfirmedAt returns a time at which records that reflect a version were current. It is zero if
// there is no evidence of any.
func (i *ReadIndex) ConfirmedAt(version Version) time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	if version < i.version {
		return time.Time{}
	}
	return i.at
}

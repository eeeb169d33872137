package upstream

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// introductionLife is for how long a host counts as one that knows, after it said so.
	introductionLife = 3 * time.Second
	// maxIntroductions bounds the hosts that are remembered.
	maxIntroductions = 16
)

// Introductions holds the hosts that have told a blind one that they know what it
// lacks. The zero value is ready for use. It is safe for concurrent use.
type Introductions struct {
	mu    sync.Mutex
	heard []introduction // the latest last
}

type introduction struct {
	address netip.AddrPort
	at      time.Time
}

// Heard notes that a host says that it knows.
func (i *Introductions) Heard(now time.Time, address netip.AddrPort) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.heard = slices.DeleteFunc(i.heard, func(known introduction) bool {
		return known.address == address || now.Sub(known.at) >= introductionLife
	})
	if len(i.heard) >= maxIntroductions {
		i.heard = i.heard[1:]
	}
	i.heard = append(i.heard, introduction{address, now})
}

// Known returns the addresses of the hosts that know, the latest first.
func (i *Introductions) Known(now time.Time) []netip.AddrPort {
	i.mu.Lock()
	defer i.mu.Unlock()
	var known []netip.AddrPort
	for _, heard := range slices.Backward(i.heard) {
		if now.Sub(heard.at) < introductionLife {
			known = append(known, heard.address)
		}
	}
	return known
}

package upstream

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// announcementLifetime is how long an announcement remains valid.
	announcementLifetime = 3 * time.Second
	// maxAnnouncements bounds the number of announcements that are kept.
	maxAnnouncements = 16
)

// Announcements holds the hosts that have announced a complete catalogue, for a host
// without one. The zero value is ready to use. It is safe for concurrent use.
type Announcements struct {
	mu     sync.Mutex
	recent []announcement // the latest last
}

type announcement struct {
	address netip.AddrPort
	at      time.Time
}

// Add adds the announcement of a host.
func (a *Announcements) Add(now time.Time, address netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recent = slices.DeleteFunc(a.recent, func(earlier announcement) bool {
		return earlier.address == address || now.Sub(earlier.at) >= announcementLifetime
	})
	if len(a.recent) >= maxAnnouncements {
		a.recent = a.recent[1:]
	}
	a.recent = append(a.recent, announcement{address, now})
}

// Addresses returns the addresses of the hosts with a valid announcement, the latest
// first.
func (a *Announcements) Addresses(now time.Time) []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	var addresses []netip.AddrPort
	for _, announced := range slices.Backward(a.recent) {
		if now.Sub(announced.at) < announcementLifetime {
			addresses = append(addresses, announced.address)
		}
	}
	return addresses
}

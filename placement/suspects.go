package placement

import (
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
)

// Defaults for Suspects.
const (
	DefaultSuspicionDuration  = 1500 * time.Millisecond
	DefaultSuspicionThreshold = 2
)

// Suspects holds the servers that are suspected of having failed because they do not
// respond to callers. The zero value is ready to use. It is not safe for concurrent use.
type Suspects struct {
	// Duration is how long a suspicion lasts. Zero means DefaultSuspicionDuration.
	Duration time.Duration
	// Threshold is how many retransmitted packets without a response in between raise
	// a suspicion. Zero means DefaultSuspicionThreshold.
	Threshold int

	servers map[catalogue.Cookie]*suspect
}

type suspect struct {
	retransmissions int
	lastSent        time.Time
	suspectedUntil  time.Time
}

// RecordRetransmission records a packet that was retransmitted because its server did
// not respond. It reports whether this raises a suspicion.
func (s *Suspects) RecordRetransmission(now time.Time, server catalogue.Cookie) bool {
	if s.servers == nil {
		s.servers = make(map[catalogue.Cookie]*suspect)
	}
	state := s.servers[server]
	if state == nil {
		state = &suspect{}
		s.servers[server] = state
	}
	duration := orDefault(s.Duration, DefaultSuspicionDuration)
	if now.Sub(state.lastSent) > duration {
		state.retransmissions = 0
	}
	state.retransmissions++
	state.lastSent = now
	if state.retransmissions < orDefault(s.Threshold, DefaultSuspicionThreshold) {
		return false
	}
	raised := !now.Before(state.suspectedUntil)
	state.suspectedUntil = now.Add(duration)
	return raised
}

// RecordResponse records a response of a server. It reports whether this ends a
// suspicion.
func (s *Suspects) RecordResponse(now time.Time, server catalogue.Cookie) bool {
	state := s.servers[server]
	if state == nil {
		return false
	}
	delete(s.servers, server)
	return now.Before(state.suspectedUntil)
}

// Suspected reports whether a server is suspected.
func (s *Suspects) Suspected(now time.Time, server catalogue.Cookie) bool {
	state := s.servers[server]
	return state != nil && now.Before(state.suspectedUntil)
}

// Forget discards the state of a server.
func (s *Suspects) Forget(server catalogue.Cookie) { delete(s.servers, server) }

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

package placement

import (
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
)

// Defaults of Suspects.
const (
	DefaultSuspicion  = 1500 * time.Millisecond
	DefaultUnanswered = 2
)

// Suspects holds the servers that have not answered. The zero value is ready
// for use. It belongs to one goroutine.
type Suspects struct {
	// Duration is how long a suspicion lasts. Zero means DefaultSuspicion.
	Duration time.Duration
	// Unanswered is how many repeated packets with no answer in between raise
	// a suspicion. Zero means DefaultUnanswered.
	Unanswered int

	servers map[catalogue.Cookie]*suspect
}

type suspect struct {
	unanswered int
	last       time.Time
	until      time.Time
}

// Repeated notes a packet that was sent again because its server has not
// answered. It reports whether that raises a suspicion.
func (s *Suspects) Repeated(now time.Time, server catalogue.Cookie) bool {
	if s.servers == nil {
		s.servers = make(map[catalogue.Cookie]*suspect)
	}
	held := s.servers[server]
	if held == nil {
		held = &suspect{}
		s.servers[server] = held
	}
	duration := orDefault(s.Duration, DefaultSuspicion)
	if now.Sub(held.last) > duration {
		held.unanswered = 0
	}
	held.unanswered++
	held.last = now
	if held.unanswered < orDefault(s.Unanswered, DefaultUnanswered) {
		return false
	}
	raised := !now.Before(held.until)
	held.until = now.Add(duration)
	return raised
}

// Answered notes that a server has answered. It reports whether that ends a
// suspicion.
func (s *Suspects) Answered(now time.Time, server catalogue.Cookie) bool {
	held := s.servers[server]
	if held == nil {
		return false
	}
	delete(s.servers, server)
	return now.Before(held.until)
}

// Suspected reports whether a server is suspected.
func (s *Suspects) Suspected(now time.Time, server catalogue.Cookie) bool {
	held := s.servers[server]
	return held != nil && now.Before(held.until)
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

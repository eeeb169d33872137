package placement

import (
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
)

// A host counts as isolated when so many servers gave no answer to probes, nor did
// their witnesses, and nothing else has answered for a time.
const (
	isolationServers = 3
	isolationTime    = 600 * time.Millisecond
)

// Isolation tells whether a host reaches no server at all, as one of a data centre
// that is cut off and has lost its own servers. Callers are better served by others
// then. The zero value is ready for use. It belongs to one goroutine.
type Isolation struct {
	silent map[catalogue.Cookie]bool
	since  time.Time
}

// Answered notes that a server or a witness has answered, or that a caller has
// acknowledged data.
func (i *Isolation) Answered() { i.silent = nil }

// Unanswered notes a probe that neither its server nor a witness has answered.
func (i *Isolation) Unanswered(now time.Time, server catalogue.Cookie) {
	if i.silent == nil {
		i.silent, i.since = make(map[catalogue.Cookie]bool), now
	}
	i.silent[server] = true
}

// Isolated reports whether the host reaches no server.
func (i *Isolation) Isolated(now time.Time) bool {
	return len(i.silent) >= isolationServers && now.Sub(i.since) >= isolationTime
}

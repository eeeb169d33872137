package placement

import (
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
)

// A host is isolated if the probes of at least isolationMinServers servers and of
// their witnesses got no response, and nothing has responded for
// isolationMinDuration.
const (
	isolationMinServers  = 3
	isolationMinDuration = 600 * time.Millisecond
)

// IsolationDetector detects that a host can't reach any server, for example in a
// partitioned data centre whose own servers have failed. Callers are better served by
// other hosts then. The zero value is ready to use. It is not safe for concurrent use.
type IsolationDetector struct {
	unresponsive      map[catalogue.Cookie]bool
	unresponsiveSince time.Time
}

// RecordResponse records that a server or a witness responded or that a caller
// acknowledged data.
func (i *IsolationDetector) RecordResponse() { i.unresponsive = nil }

// RecordNoResponse records a probe to which neither the server nor a witness
// responded.
func (i *IsolationDetector) RecordNoResponse(now time.Time, server catalogue.Cookie) {
	if i.unresponsive == nil {
		i.unresponsive, i.unresponsiveSince = make(map[catalogue.Cookie]bool), now
	}
	i.unresponsive[server] = true
}

// Isolated reports whether the host can't reach any server.
func (i *IsolationDetector) Isolated(now time.Time) bool {
	return len(i.unresponsive) >= isolationMinServers && now.Sub(i.unresponsiveSince) >= isolationMinDuration
}

package decisionlog

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Log writes a line for each decision, within a rate limit. Logger must be set. Its
// methods are safe for concurrent use.
type Log struct {
	Logger hclog.Logger
	// Now returns the current time; nil means time.Now.
	Now func() time.Time

	mu      sync.Mutex
	limiter Limiter
}

// Line writes a line of a kind, with pairs of keys and values.
func (l *Log) Line(kind string, pairs ...any) {
	now := time.Now
	if l.Now != nil {
		now = l.Now
	}
	l.mu.Lock()
	allowed, omitted := l.limiter.Allow(now(), kind)
	l.mu.Unlock()
	for _, o := range omitted {
		l.Logger.Warn("lines_omitted", "kind", o.Kind, "lines", o.Lines)
	}
	if allowed {
		l.Logger.Info(kind, pairs...)
	}
}

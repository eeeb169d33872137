package host

import (
	"context"
	"time"

	"github.com/rattanthread/rattanthread/control"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/registry"
)

const (
	watchWait    = 20 * time.Second       // longest wait of one watch
	readerPoll   = 250 * time.Millisecond // between looks whether there is something to read
	readBackoff  = time.Second            // after a failed call
	hostInterval = 10 * time.Second       // between reads of the host list
	fetchTimeout = 10 * time.Second       // of reading one revision
)

// reader reads configurations and the host list from the platform. A fresh host
// reads once. After that only the few readers of a data centre do; the others
// learn from their peers.
type reader struct {
	host  *Host
	parts *parts
}

func (r *reader) serve(ctx context.Context) error {
	known := false
	var listed time.Time
	for ctx.Err() == nil {
		s := r.parts.loop.snapshot()
		reads := s != nil && (s.Reader || s.NeedFetch || s.Stale)
		if !known || reads {
			known = r.read(ctx, s, known && s.Reader) || known
		}
		if now := r.host.Now(); (listed.IsZero() || reads) && now.Sub(listed) > hostInterval {
			if r.list(ctx) {
				listed = now
			}
		}
		wait(ctx, readerPoll)
	}
	return nil
}

// read asks for the head and fetches it when it is new. It reports whether the
// platform answered.
func (r *reader) read(ctx context.Context, s *control.Snapshot, watch bool) bool {
	var inForce fleet.Revision
	if s != nil {
		inForce = s.Revised.Revision
	}
	head, err := r.head(ctx, inForce, watch)
	r.count("head", err)
	if err != nil {
		wait(ctx, readBackoff)
		return false
	}
	if head.Revision == 0 || s != nil && head.Revision <= inForce && head.History == s.Revised.History {
		r.parts.loop.give(&control.PlatformAnswered{Revision: head.Revision})
		return true
	}
	return r.fetch(ctx, head)
}

func (r *reader) head(ctx context.Context, inForce fleet.Revision, watch bool) (registry.Head, error) {
	if watch {
		return r.parts.client.Watch(ctx, inForce, watchWait)
	}
	return r.parts.client.Head(ctx)
}

func (r *reader) fetch(ctx context.Context, head registry.Head) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	revised, err := r.parts.client.FetchHead(ctx, head)
	r.count("fetch", err)
	if err != nil {
		wait(ctx, readBackoff)
		return false
	}
	r.parts.loop.give(&control.RevisionRead{Revised: revised})
	return true
}

func (r *reader) list(ctx context.Context) bool {
	hosts, err := r.parts.client.Hosts(ctx)
	r.count("hosts", err)
	if err != nil {
		return false
	}
	r.parts.loop.give(&control.HostsRead{Hosts: hosts})
	return true
}

func (r *reader) count(call string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	r.parts.counters.platform.WithLabelValues(call, result).Inc()
}

// wait waits for d or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

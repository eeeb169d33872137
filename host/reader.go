package host

import (
	"context"
	"time"

	"github.com/rattanthread/rattanthread/control"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/registry"
)

const (
	watchTimeout       = 20 * time.Second       // of one watch
	readerPollInterval = 250 * time.Millisecond // between checks whether a read is due
	readBackoff        = time.Second            // after a failed call
	hostListInterval   = 10 * time.Second       // between reads of the host list
	fetchTimeout       = 10 * time.Second       // of reading one revision
)

// reader reads configurations and the host list from the platform. Every host
// reads once after it starts. After that, a host reads only if it is one of the few
// readers of its data centre, must fetch a revision, or is stale; the others receive
// updates from their peers.
type reader struct {
	host       *Host
	components *hostComponents
}

func (r *reader) serve(ctx context.Context) error {
	headRead := false
	var listedAt time.Time
	for ctx.Err() == nil {
		snapshot := r.components.loop.snapshot()
		readDue := snapshot != nil && (snapshot.Reader || snapshot.NeedFetch || snapshot.Stale)
		if !headRead || readDue {
			headRead = r.refresh(ctx, snapshot, headRead && snapshot.Reader) || headRead
		}
		if now := r.host.Now(); (listedAt.IsZero() || readDue) && now.Sub(listedAt) > hostListInterval {
			if r.listHosts(ctx) {
				listedAt = now
			}
		}
		sleep(ctx, readerPollInterval)
	}
	return nil
}

// refresh reads the head and fetches its revision if that is new. It reports whether
// the platform responded.
func (r *reader) refresh(ctx context.Context, snapshot *control.Snapshot, watch bool) bool {
	var inForce fleet.Revision
	if snapshot != nil {
		inForce = snapshot.Published.Revision
	}
	head, err := r.head(ctx, inForce, watch)
	r.countCall("head", err)
	if err != nil {
		sleep(ctx, readBackoff)
		return false
	}
	if head.Revision == 0 || snapshot != nil && head.Revision <= inForce && head.History == snapshot.Published.History {
		r.components.loop.enqueueOrDrop(&control.PlatformAnswered{Revision: head.Revision})
		return true
	}
	return r.fetch(ctx, head)
}

func (r *reader) head(ctx context.Context, inForce fleet.Revision, watch bool) (registry.Head, error) {
	if watch {
		return r.components.client.Watch(ctx, inForce, watchTimeout)
	}
	return r.components.client.Head(ctx)
}

func (r *reader) fetch(ctx context.Context, head registry.Head) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	published, err := r.components.client.FetchHead(ctx, head)
	r.countCall("fetch", err)
	if err != nil {
		sleep(ctx, readBackoff)
		return false
	}
	r.components.loop.enqueueOrDrop(&control.RevisionRead{Published: published})
	return true
}

func (r *reader) listHosts(ctx context.Context) bool {
	hosts, err := r.components.client.Hosts(ctx)
	r.countCall("hosts", err)
	if err != nil {
		return false
	}
	r.components.loop.enqueueOrDrop(&control.HostsRead{Hosts: hosts})
	return true
}

func (r *reader) countCall(call string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	r.components.counters.platform.WithLabelValues(call, result).Inc()
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

package entry

import (
	"context"
	"net/http"

	"github.com/thejerf/suture/v4"
	"golang.org/x/sync/errgroup"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/platform"
)

// part is a named part of the supervisor tree.
type part struct {
	name string
	run  func(context.Context) error
}

// Serve runs the part until ctx ends.
func (p part) Serve(ctx context.Context) error { return p.run(ctx) }

// String returns the part's name for logs.
func (p part) String() string { return p.name }

// tree returns the supervisor tree: what the host knows, the traffic, and the
// endpoints. A part that fails is started again and stops no other.
func (h *Host) tree() *suture.Supervisor {
	root := h.supervisor("host")
	root.Add(part{"knowledge", h.learn})
	traffic := h.supervisor("traffic")
	traffic.Add(part{"packets", h.forward})
	traffic.Add(part{"probes", h.probe})
	root.Add(traffic)
	endpoints := h.supervisor("endpoints")
	endpoints.Add(part{"readiness", func(ctx context.Context) error {
		return h.network.Serve(ctx, http.HandlerFunc(h.answerReadiness))
	}})
	endpoints.Add(part{"metrics", h.serveMetrics})
	endpoints.Add(part{"feeds", func(ctx context.Context) error { return h.network.ServeFeed(ctx, h.ServeFeed) }})
	endpoints.Add(part{"settings", h.reload})
	root.Add(endpoints)
	return root
}

func (h *Host) supervisor(name string) *suture.Supervisor {
	return suture.New(name, suture.Spec{EventHook: func(e suture.Event) {
		h.log.Line("part_failed", "supervisor", name, "event", e.String())
		h.metrics.restarts.Inc()
	}})
}

// learn keeps what the host knows up to date. Its parts start and end together, as
// the readers go on from what the control goroutine has taken in.
func (h *Host) learn(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	store := platform.Store{
		Address: func() string { return h.current.Load().Store.Address.String() },
		HTTP:    &http.Client{Transport: h.network.Store},
	}
	for source := range catalogue.Source(catalogue.SourceCount) {
		reader := storeReader{host: h, store: &store, follower: catalogue.Follower{Source: source}}
		group.Go(func() error {
			if source == catalogue.Hosts {
				h.awaitReady(ctx)
			}
			return reader.run(ctx)
		})
	}
	group.Go(func() error { return (&control{host: h}).run(ctx) })
	group.Go(func() error { return (&feedClient{host: h}).run(ctx) })
	group.Go(func() error { return (&announcer{host: h}).run(ctx) })
	group.Go(func() error { return h.register(ctx, &store) })
	group.Go(func() error { return (&janitor{host: h, store: &store}).run(ctx) })
	return group.Wait()
}

package entry

import (
	"context"
	"net/http"

	"github.com/thejerf/suture/v4"
	"golang.org/x/sync/errgroup"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/platform"
)

// component is a named component of the supervisor tree.
type component struct {
	name string
	run  func(context.Context) error
}

// Serve runs the component until ctx ends.
func (c component) Serve(ctx context.Context) error { return c.run(ctx) }

// String returns the name of the component.
func (c component) String() string { return c.name }

// supervisorTree returns the supervisor tree of the host. A component that fails is restarted;
// the others keep running.
func (h *Host) supervisorTree() *suture.Supervisor {
	root := h.supervisor("host")
	root.Add(component{"knowledge", h.syncCatalogue})
	traffic := h.supervisor("traffic")
	traffic.Add(component{"packets", h.forward})
	traffic.Add(component{"probes", h.runProbes})
	root.Add(traffic)
	endpoints := h.supervisor("endpoints")
	endpoints.Add(component{"readiness", func(ctx context.Context) error {
		return h.network.Serve(ctx, http.HandlerFunc(h.serveReadiness))
	}})
	endpoints.Add(component{"metrics", h.serveMetrics})
	endpoints.Add(component{"feeds", func(ctx context.Context) error { return h.network.ServeFeed(ctx, h.ServeFeed) }})
	endpoints.Add(component{"settings", h.reload})
	if h.network.ServeLoads != nil && h.network.DialLoads != nil {
		endpoints.Add(component{"loads", func(ctx context.Context) error { return h.network.ServeLoads(ctx, h.ServeLoads) }})
		root.Add(component{"elsewhere", func(ctx context.Context) error { return (&loadsClient{host: h}).run(ctx) }})
	}
	root.Add(endpoints)
	return root
}

func (h *Host) supervisor(name string) *suture.Supervisor {
	return suture.New(name, suture.Spec{EventHook: func(e suture.Event) {
		h.log.Line("part_failed", "supervisor", name, "event", e.String())
		h.metrics.restarts.Inc()
	}})
}

// syncCatalogue keeps the catalogue up to date. Its goroutines start and end together, since
// the readers continue from the state of the control goroutine.
func (h *Host) syncCatalogue(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	store := platform.Store{
		Address: func() string { return h.activeSettings.Load().Store.Address.String() },
		HTTP:    &http.Client{Transport: h.network.Store},
		OnEpoch: h.observeEpoch,
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
	group.Go(func() error { return (&staleHostRemover{host: h, store: &store}).run(ctx) })
	return group.Wait()
}

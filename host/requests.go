package host

import (
	"context"
	"time"

	"github.com/rattanthread/rattanthread/control"
	"github.com/rattanthread/rattanthread/fleet"
)

// requestDoor serves the requests of callers.
type requestDoor struct {
	host  *Host
	parts *parts
}

func newRequestDoor(h *Host, p *parts) *requestDoor { return &requestDoor{host: h, parts: p} }

func (d *requestDoor) serve(ctx context.Context) error { <-ctx.Done(); return nil }

func (d *requestDoor) install(*control.Snapshot) {}

func (d *requestDoor) drain(context.Context) error { return nil }

func (d *requestDoor) report(fleet.ServerID, int, time.Time) {}

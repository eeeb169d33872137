package frontend

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
)

// drainer counts running requests. Once draining, it accepts no new ones.
type drainer struct {
	mu      sync.Mutex
	running int
	idle    chan struct{} // non-nil while draining; closed once no request is running
}

func (d *drainer) beginRequest() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.idle != nil {
		return false
	}
	d.running++
	return true
}

func (d *drainer) endRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
	if d.idle != nil && d.running == 0 {
		close(d.idle)
	}
}

func (d *drainer) startDraining() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.idle == nil {
		d.idle = make(chan struct{})
		if d.running == 0 {
			close(d.idle)
		}
	}
	return d.idle
}

// Drain refuses new requests and waits for the running ones. Call it before closing
// the listener, so that requests on open connections still get a response, with
// which their connection is closed.
func (h *Handler) Drain(ctx context.Context) error {
	select {
	case <-h.drainer.startDraining():
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "drain requests")
	}
}

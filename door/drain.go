package door

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
)

// drainer counts the requests that run, and ends the admission of new ones.
type drainer struct {
	mu      sync.Mutex
	running int
	idle    chan struct{} // set while draining; closed once nothing runs
}

func (d *drainer) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.idle != nil {
		return false
	}
	d.running++
	return true
}

func (d *drainer) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
	if d.idle != nil && d.running == 0 {
		close(d.idle)
	}
}

func (d *drainer) start() <-chan struct{} {
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

// Drain refuses new requests and waits until those that run have ended. It is
// to be called before the listener closes, so that requests on open connections
// get an answer, and the connections close after it.
func (d *Door) Drain(ctx context.Context) error {
	select {
	case <-d.drainer.start():
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "drain requests")
	}
}

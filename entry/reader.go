package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/platform"
)

// Times of calls on the store.
const (
	// watchTime is how long a watch waits for news.
	watchTime = time.Second
	// callTimeout is how long a call may take beyond the time it waits.
	callTimeout = 600 * time.Millisecond
	// retryTime is the pause after a failed call.
	retryTime = 250 * time.Millisecond
)

// storeReader follows one source of the store.
type storeReader struct {
	host   *Host
	store  *platform.Store
	source catalogue.Source

	version catalogue.Version
	failing bool
}

func (r *storeReader) run(ctx context.Context) error {
	for ctx.Err() == nil {
		answer, err := r.ask(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			r.failed(ctx, err)
			continue
		}
		r.succeeded()
		r.version = answer.Version
		select {
		case r.host.answers <- answer:
		case <-ctx.Done():
		}
	}
	return nil
}

// ask lists the records if none are known, and else waits for changes.
func (r *storeReader) ask(ctx context.Context) (catalogue.Answer, error) {
	if r.version == 0 {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return r.store.List(ctx, r.source, time.Now())
	}
	wait := watchTime
	if r.failing {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	answer, err := r.store.Watch(ctx, r.source, r.version, wait)
	answer.Asked = time.Now()
	return answer, err
}

func (r *storeReader) failed(ctx context.Context, err error) {
	if errors.Is(err, platform.ErrHistoryGone) {
		r.version = 0
		return
	}
	if !r.failing {
		r.failing = true
		r.host.Logger.Warn("store lost", "source", r.source.String(), "error", err)
	}
	timer := time.NewTimer(retryTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (r *storeReader) succeeded() {
	if r.failing {
		r.failing = false
		r.host.Logger.Info("store regained", "source", r.source.String())
	}
}

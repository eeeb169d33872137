package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/platform"
)

// storeReader follows one source of the store.
type storeReader struct {
	host     *Host
	store    *platform.Store
	follower catalogue.Follower
	listing  catalogue.Listing
	// old is a list that may be seconds old: what has changed since is asked for
	// before it is used.
	old *catalogue.Update
}

func (r *storeReader) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if r.awaitTurn(ctx) {
			continue
		}
		r.follower.Bound = r.host.bound(r.follower.Source)
		answers, err := r.ask(ctx, r.follower.Next())
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			r.failed(ctx, err)
			continue
		}
		last := answers[len(answers)-1]
		if r.follower.Succeeded(last.Version) {
			r.host.log.Line("store_regained", "source", last.Source.String(), "version", last.Version)
		}
		select {
		case r.host.answers <- answers:
		case <-ctx.Done():
		}
		pause(ctx, r.follower.Pause(r.host.network.Now(), len(last.Records) > 0))
	}
	return nil
}

// pause waits for a time, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// awaitTurn waits while the host is fed by another, and reports whether it did.
func (r *storeReader) awaitTurn(ctx context.Context) bool {
	r.follower.Advance(r.host.snapshot.Load().versions[r.follower.Source])
	rest := time.Unix(0, r.host.fedUntil.Load()).Sub(r.host.network.Now())
	if rest <= 0 {
		return false
	}
	r.listing.Reset()
	r.old = nil
	pause(ctx, rest)
	return true
}

func (r *storeReader) ask(ctx context.Context, call catalogue.Call) ([]catalogue.Update, error) {
	if call.Full && !call.Linearizable {
		return r.askOld(ctx, call)
	}
	answer, err := r.askOne(ctx, call, platform.Linearizable)
	return []catalogue.Update{answer}, err
}

// askOld reads a first list, which may be seconds old, and what has changed since.
// Together that is as recent as any watch, at a fifth of the price of a recent list.
func (r *storeReader) askOld(ctx context.Context, call catalogue.Call) ([]catalogue.Update, error) {
	if r.old == nil {
		list, err := r.askOne(ctx, call, platform.Serializable)
		if err != nil {
			return nil, err
		}
		r.old = &list
	}
	call.Full, call.After = false, r.old.Version
	changes, err := r.askOne(ctx, call, platform.Serializable)
	if err != nil {
		return nil, err
	}
	answers := []catalogue.Update{*r.old, changes}
	r.old = nil
	return answers, nil
}

// askOne makes one call and notes how it ended.
func (r *storeReader) askOne(ctx context.Context, call catalogue.Call, c platform.Consistency) (catalogue.Update, error) {
	asked := r.host.network.Now()
	answer, err := r.call(ctx, call, c)
	answered := r.host.network.Now()
	result, waited := "ok", call.Wait
	if err != nil {
		result = "failed"
	}
	if len(answer.Records) > 0 {
		waited = 0
	}
	if call.Source == catalogue.Servers {
		r.host.storeLost.Store(err != nil)
	}
	r.host.metrics.countCall(call.Source, result, answered.Sub(asked)-waited)
	if !call.Full {
		answer.AsOf = answered
	}
	return answer, err
}

func (r *storeReader) call(ctx context.Context, call catalogue.Call, c platform.Consistency) (catalogue.Update, error) {
	if call.Full {
		return r.list(ctx, call, c)
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	return r.store.Watch(ctx, call.Source, call.After, call.Wait)
}

// list reads all records, from the page on at which it failed last. A page that
// takes longer than the timeout ends it, so that a long list may take its time and
// a silent store is noticed.
func (r *storeReader) list(ctx context.Context, call catalogue.Call, c platform.Consistency) (catalogue.Update, error) {
	for {
		asked := r.host.network.Now()
		reading, cancel := context.WithTimeout(ctx, call.Timeout)
		page, next, err := r.store.Page(reading, call.Source, r.listing.After(), c)
		cancel()
		if err != nil {
			return page, err
		}
		whole, done := r.listing.Add(asked, page, next)
		if done {
			return whole, nil
		}
		r.begin(ctx, page)
	}
}

// begin lets a host that knows no server yet start with the first pages. Flows of
// servers on later ones wait: their cookies are unknown, which ends no flow.
func (r *storeReader) begin(ctx context.Context, page catalogue.Update) {
	if page.Source != catalogue.Servers || r.host.snapshot.Load().versions[page.Source] != 0 {
		return
	}
	page.Version = 0
	select {
	case r.host.answers <- []catalogue.Update{page}:
	case <-ctx.Done():
	}
}

func (r *storeReader) failed(ctx context.Context, err error) {
	source := r.follower.Source.String()
	if errors.Is(err, platform.ErrHistoryGone) {
		r.host.log.Line("history_gone", "source", source)
		r.follower.HistoryExpired()
		r.listing.Reset()
		r.old = nil
		return
	}
	wait, lost := r.follower.Failed()
	if lost {
		r.host.log.Line("store_lost", "source", source, "error", err)
	}
	pause(ctx, wait)
}

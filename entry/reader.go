package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/platform"
	"github.com/rattanthread/rattanthread/upstream"
)

// upstreamAttempts is how many times startupRetryInterval a host waits for an upstream before it
// confirms a read that may be seconds old by itself.
const upstreamAttempts = 5

// storeReader reads one source of the store and follows its changes.
type storeReader struct {
	host     *Host
	store    *platform.Store
	follower catalogue.Follower
	listing  catalogue.Listing
	// staleList is a list that may be seconds old. It is used only together with the changes
	// since.
	staleList *catalogue.Update
	// epoch is the store's epoch in the last successful call.
	epoch fleet.StoreEpoch
}

func (r *storeReader) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if r.waitWhileUpstreamFresh(ctx) || r.waitForUpstream(ctx) {
			continue
		}
		r.follower.Bound = r.host.bound(r.follower.Source)
		sent := r.host.network.Now()
		updates, err := r.read(ctx, r.follower.Next(sent))
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			r.handleFailure(ctx, sent, err)
			continue
		}
		now, last := r.host.network.Now(), updates[len(updates)-1]
		outage := r.follower.Outage(now)
		if outage > catalogue.OutageThreshold {
			updates[0].Grace = catalogue.RecoveryGrace
		}
		if r.follower.Succeeded(now, last.Version, last.AsOf) {
			r.host.log.Line("store_regained", "source", last.Source.String(), "version", last.Version, "outage", outage)
		}
		r.logEpochChange(last)
		select {
		case r.host.updates <- updates:
		case <-ctx.Done():
		}
		pause(ctx, r.follower.Pause(r.host.network.Now(), len(last.Records) > 0))
	}
	return nil
}

// logEpochChange logs the first update of an epoch.
func (r *storeReader) logEpochChange(update catalogue.Update) {
	epoch := update.Version.Epoch()
	if r.epoch != epoch && r.epoch != 0 {
		r.host.log.Line("source_restored", "source", update.Source.String(), "version", update.Version, "full", update.Full, "records", len(update.Records))
	}
	r.epoch = epoch
}

// pause waits for a duration or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// waitWhileUpstreamFresh waits while the upstream is fresh and reports whether it did.
func (r *storeReader) waitWhileUpstreamFresh(ctx context.Context) bool {
	state := r.host.snapshot.Load()
	r.follower.Advance(r.host.network.Now(), state.versions[r.follower.Source], state.confirmed[r.follower.Source])
	remaining := time.Unix(0, r.host.upstreamFreshUntil.Load()).Sub(r.host.network.Now())
	if remaining <= 0 {
		return false
	}
	r.listing.Reset()
	r.staleList = nil
	pause(ctx, remaining)
	return true
}

// waitForUpstream waits for an upstream after a read that may be seconds old, and reports whether
// there is one that is fresh. Thus not all hosts that start, or find the store available again,
// make linearizable calls. The host that ranks first doesn't wait.
func (r *storeReader) waitForUpstream(ctx context.Context) bool {
	if !r.follower.TakeProvisional() {
		return false
	}
	chooser := upstream.Chooser{Self: r.host.self()}
	for range upstreamAttempts {
		state := r.host.snapshot.Load()
		if registered(state.catalogue, r.host.self()) && chooser.RanksFirst(state.catalogue.Hosts()) {
			return false
		}
		pause(ctx, startupRetryInterval)
		if r.waitWhileUpstreamFresh(ctx) {
			return true
		}
	}
	return false
}

func (r *storeReader) read(ctx context.Context, call catalogue.Call) ([]catalogue.Update, error) {
	if call.Full && !call.Linearizable {
		return r.listAndWatch(ctx, call)
	}
	update, err := r.callStore(ctx, call)
	return []catalogue.Update{update}, err
}

// listAndWatch reads a list and the changes since, both of which may be seconds old: a host can
// forward by them until they are confirmed.
func (r *storeReader) listAndWatch(ctx context.Context, call catalogue.Call) ([]catalogue.Update, error) {
	if r.staleList == nil {
		list, err := r.callStore(ctx, call)
		if err != nil {
			return nil, err
		}
		r.staleList = &list
	}
	call.Full, call.After = false, r.staleList.Version
	changes, err := r.callStore(ctx, call)
	if err != nil {
		return nil, err
	}
	updates := []catalogue.Update{*r.staleList, changes}
	r.staleList = nil
	return updates, nil
}

// callStore makes one call and records its result and duration.
func (r *storeReader) callStore(ctx context.Context, call catalogue.Call) (catalogue.Update, error) {
	start := r.host.network.Now()
	update, err := r.send(ctx, call)
	duration := r.host.network.Now().Sub(start)
	result, waited := "ok", call.Wait
	if err != nil {
		result = "failed"
	}
	if len(update.Records) > 0 {
		waited = 0
	}
	if call.Source == catalogue.Servers {
		r.host.storeUnavailable.Store(err != nil)
	}
	r.host.metrics.countCall(call.Source, result, duration-waited)
	if err != nil {
		return update, err
	}
	now := r.host.network.Now()
	update.AsOf = r.host.possibleConfirmation(now, ageInStore, call.Source, r.asOf(call, update, start, duration))
	if call.Linearizable {
		r.host.readIndex.Observe(now, update.Version, update.AsOf)
	}
	return update, nil
}

// asOf returns the latest time at which the records of a response were certainly current, or
// zero if there is no evidence. A response may be delayed on its way, so its arrival
// proves nothing; a watch without changes has waited in the store.
func (r *storeReader) asOf(call catalogue.Call, update catalogue.Update, start time.Time, duration time.Duration) time.Time {
	switch {
	case !call.Linearizable && call.Source != catalogue.Hosts:
		return r.host.readIndex.ConfirmedAt(update.Version)
	case call.Full:
		return update.AsOf
	case len(update.Records) > 0 || duration < call.Wait:
		return start
	}
	return start.Add(call.Wait)
}

func (r *storeReader) send(ctx context.Context, call catalogue.Call) (catalogue.Update, error) {
	consistency := platform.Serializable
	if call.Linearizable {
		consistency = platform.Linearizable
	}
	if call.Full {
		return r.list(ctx, call, consistency)
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	return r.store.Watch(ctx, call.Source, call.After, call.Wait, consistency)
}

// list reads all records, page by page, and resumes at the page that failed before. The
// timeout applies to each page, so that a long list may take its time and an unresponsive
// store is detected.
func (r *storeReader) list(ctx context.Context, call catalogue.Call, consistency platform.Consistency) (catalogue.Update, error) {
	for {
		requested := r.host.network.Now()
		pageCtx, cancel := context.WithTimeout(ctx, call.Timeout)
		page, next, err := r.store.Page(pageCtx, call.Source, r.listing.After(), consistency)
		cancel()
		if err != nil {
			return page, err
		}
		full, done := r.listing.Add(requested, page, next)
		if done {
			return full, nil
		}
		r.publishPartial(ctx, page)
	}
}

// publishPartial publishes a page of the list of servers, so that a host without servers
// can start before the list is complete. Packets to servers on later pages are dropped, but
// their flows are not reset, since their cookies are unknown.
func (r *storeReader) publishPartial(ctx context.Context, page catalogue.Update) {
	if page.Source != catalogue.Servers || r.host.snapshot.Load().versions[page.Source] != 0 {
		return
	}
	page.Version = 0
	select {
	case r.host.updates <- []catalogue.Update{page}:
	case <-ctx.Done():
	}
}

// handleFailure records the failure of a call that was sent at a time, and pauses.
func (r *storeReader) handleFailure(ctx context.Context, sent time.Time, err error) {
	source := r.follower.Source.String()
	if errors.Is(err, platform.ErrHistoryExpired) {
		r.host.log.Line("history_gone", "source", source)
		r.listing.Reset()
		r.staleList = nil
		pause(ctx, r.follower.HistoryExpired())
		return
	}
	wait, lost := r.follower.Failed(sent)
	if lost {
		r.host.log.Line("store_lost", "source", source, "error", err)
	}
	pause(ctx, wait)
}

package registry_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/registry"
	"github.com/rattanthread/rattanthread/registrystandin"
)

// newSet returns a set with one data centre of the given name.
func newSet(name fleet.DataCentreID) config.Set {
	return config.Set{DataCentres: []config.DataCentre{{Name: name}}}.Normalised()
}

func newClient(server *registrystandin.Server) *registry.Client {
	return &registry.Client{URL: "http://platform.test", HTTP: server.HTTPClient(), Timeout: time.Second}
}

func publish(t *testing.T, client *registry.Client, name fleet.DataCentreID, publication string) config.PublishedSet {
	t.Helper()
	is := is.New(t)
	base, err := client.Head(t.Context())
	is.NoErr(err)
	published, err := client.Publish(t.Context(), base, newSet(name), publication)
	is.NoErr(err)
	return published
}

func TestPublishAndFetch(t *testing.T) {
	is := is.New(t)
	var server registrystandin.Server
	client := newClient(&server)
	for i := range 70 { // more than the earlier publications that one revision lists
		publish(t, client, fleet.DataCentreID(fmt.Sprintf("dc-%d", i+1)), fmt.Sprintf("publication-%d", i+1))
	}
	fresh := newClient(&server)
	for _, rev := range []fleet.Revision{1, 5, 6, 69, 70} {
		got, err := fresh.Fetch(t.Context(), rev)
		is.NoErr(err)
		is.Equal(got.Revision, rev)
		is.Equal(got.Set.DataCentres[0].Name, fleet.DataCentreID(fmt.Sprintf("dc-%d", rev)))
		is.Equal(got.History, fleet.HistoryID("publication-1"))
	}
	_, err := fresh.Fetch(t.Context(), 71)
	is.True(errors.Is(err, registry.ErrNotFound))
}

func TestLostAnswerPublishesOnce(t *testing.T) {
	for lost := range 6 {
		t.Run(fmt.Sprintf("%d responses lost", lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var server registrystandin.Server
				client := newClient(&server)
				publish(t, client, "tp1", "publication-1")
				base, err := client.Head(t.Context())
				is.NoErr(err)
				server.SetFaults(registrystandin.Faults{LoseAnswers: lost})
				first, err := client.Publish(t.Context(), base, newSet("tp2"), "publication-2")
				is.NoErr(err)
				again, err := client.Publish(t.Context(), base, newSet("tp2"), "publication-2")
				is.NoErr(err)
				is.Equal(first.Revision, fleet.Revision(2))
				is.Equal(again, first)
				is.Equal(server.Counts().Applied, uint64(4)) // two revisions and two heads
				is.Equal(client.Counts()[registry.CallRetry] > 0, lost > 0)
			})
		})
	}
}

// A write that times out is applied late, after the caller has retried it. The
// publication must not take effect twice.
func TestLateWritePublishesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var server registrystandin.Server
		client := newClient(&server)
		publish(t, client, "tp1", "publication-1")
		base, err := client.Head(t.Context())
		is.NoErr(err)
		server.SetFaults(registrystandin.Faults{Delay: 1500 * time.Millisecond})
		_, err = client.Publish(t.Context(), base, newSet("tp2"), "publication-2")
		is.True(errors.Is(err, registry.ErrUnavailable))
		server.SetFaults(registrystandin.Faults{})
		published, err := client.Publish(t.Context(), base, newSet("tp2"), "publication-2")
		is.NoErr(err)
		is.Equal(published.Revision, fleet.Revision(2))
		time.Sleep(time.Minute)
		head, err := client.Head(t.Context())
		is.NoErr(err)
		is.Equal(head.Revision, fleet.Revision(2))
	})
}

// A retry of a publication must return its revision even if later ones were
// published in between.
func TestRepeatAfterOthers(t *testing.T) {
	is := is.New(t)
	var server registrystandin.Server
	client := newClient(&server)
	base, err := client.Head(t.Context())
	is.NoErr(err)
	first, err := client.Publish(t.Context(), base, newSet("tp1"), "publication-1")
	is.NoErr(err)
	is.Equal(publish(t, client, "tp1", "publication-1"), first) // based on the head that it published
	publish(t, client, "tp2", "publication-2")
	publish(t, client, "tp3", "publication-3")
	for range 2 { // with the old head, then with the current one
		again, err := client.Publish(t.Context(), base, newSet("tp1"), "publication-1")
		is.NoErr(err)
		is.Equal(again, first)
		base, err = client.Head(t.Context())
		is.NoErr(err)
	}
	is.Equal(base.Revision, fleet.Revision(3))
	_, err = client.Publish(t.Context(), registry.Head{}, newSet("other"), "publication-1")
	is.True(errors.Is(err, registry.ErrRefused)) // the id was used for a different set
}

func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	var server registrystandin.Server
	publish(t, newClient(&server), "tp1", "publication-1")
	const operators = 16
	var wg sync.WaitGroup
	errs := make([]error, operators)
	base, err := newClient(&server).Head(t.Context())
	is.NoErr(err)
	for i := range operators {
		wg.Go(func() {
			set := newSet(fleet.DataCentreID(fmt.Sprintf("dc-%d", i)))
			_, errs[i] = newClient(&server).Publish(t.Context(), base, set, fmt.Sprintf("operator-%d", i))
		})
	}
	wg.Wait()
	final, err := newClient(&server).Fetch(t.Context(), 2)
	is.NoErr(err)
	published := 0
	for i, err := range errs {
		if err == nil {
			published++
			is.Equal(final.Publication, fmt.Sprintf("operator-%d", i))
			continue
		}
		conflict, ok := errors.Into[*registry.ConflictError](err)
		is.True(ok) // every other operator gets the revision in force
		is.Equal(conflict.Winner.Publication, final.Publication)
		is.True(errors.Is(err, registry.ErrConflict))
	}
	is.Equal(published, 1)
}

// A publisher that crashes between its two writes must not change the revision in
// force.
func TestHalfAppliedIsNotVisible(t *testing.T) {
	is := is.New(t)
	var server registrystandin.Server
	client := newClient(&server)
	publish(t, client, "tp1", "publication-1")
	base, err := client.Head(t.Context())
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	crashing := newClient(&server)
	crashing.HTTP.Transport = cancelAfterWrite{crashing.HTTP.Transport, cancel, "/revisions/"}
	_, err = crashing.Publish(ctx, base, newSet("tp2"), "publication-2")
	is.True(err != nil)
	is.Equal(server.Counts().Applied, uint64(3)) // the revision is stored, but not the head
	head, err := client.Head(t.Context())
	is.NoErr(err)
	is.Equal(head, base)
	published := publish(t, client, "tp3", "publication-3")
	is.Equal(published.Revision, fleet.Revision(2))
	is.Equal(published.Set.DataCentres[0].Name, fleet.DataCentreID("tp3"))
}

func TestStaleBaseConflicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var server registrystandin.Server
		client := newClient(&server)
		publish(t, client, "tp1", "publication-1")
		time.Sleep(time.Minute)
		publish(t, client, "tp2", "publication-2")
		server.SetFaults(registrystandin.Faults{Lag: 3 * time.Second})
		late := newClient(&server)
		base, err := late.Head(t.Context())
		is.NoErr(err)
		is.Equal(base.Revision, fleet.Revision(1))
		_, err = late.Publish(t.Context(), base, newSet("tp3"), "publication-3")
		conflict, ok := errors.Into[*registry.ConflictError](err)
		is.True(ok)
		is.Equal(conflict.Winner.Publication, "publication-2") // not the stale head
	})
}

func TestPrune(t *testing.T) {
	is := is.New(t)
	var server registrystandin.Server
	client := newClient(&server)
	for i := range 6 {
		publish(t, client, fleet.DataCentreID(fmt.Sprintf("dc-%d", i)), fmt.Sprintf("publication-%d", i))
	}
	head, err := client.Head(t.Context())
	is.NoErr(err)
	deleted, err := client.Prune(t.Context(), head, 2)
	is.NoErr(err)
	is.Equal(deleted, 4)
	for rev := fleet.Revision(1); rev <= 6; rev++ {
		_, err := client.Fetch(t.Context(), rev)
		is.Equal(errors.Is(err, registry.ErrNotFound), rev <= 4)
	}
}

func TestSinceFollowsState(t *testing.T) {
	is := is.New(t)
	var server registrystandin.Server
	client := newClient(&server)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	client.Now = func() time.Time { return now }
	publish(t, client, "tp1", "publication-1")
	now = now.Add(time.Hour)
	same := publish(t, client, "tp1", "publication-2")
	is.True(same.Set.DataCentres[0].Since.IsZero()) // the state has never changed
	set := newSet("tp1")
	set.DataCentres[0].State = config.StateOut
	base, err := client.Head(t.Context())
	is.NoErr(err)
	out, err := client.Publish(t.Context(), base, set, "publication-3")
	is.NoErr(err)
	is.Equal(out.Set.DataCentres[0].Since, now)
	is.True(out.Set.DataCentres[0].PreviousChange.IsZero())
	changed := now
	now = now.Add(time.Minute)
	back := publish(t, client, "tp1", "publication-4")
	is.Equal(back.Set.DataCentres[0].Since, now)
	is.Equal(back.Set.DataCentres[0].PreviousChange, changed)
}

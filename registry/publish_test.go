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

// setWith returns a set that differs by the name of its data centre.
func setWith(name fleet.DataCentreID) config.Set {
	return config.Set{DataCentres: []config.DataCentre{{Name: name}}}.Normalised()
}

func newClient(s *registrystandin.Server) *registry.Client {
	return &registry.Client{URL: "http://platform.test", HTTP: s.HTTPClient(), Timeout: time.Second}
}

func publish(t *testing.T, c *registry.Client, name fleet.DataCentreID, publication string) config.Revised {
	t.Helper()
	is := is.New(t)
	base, err := c.Head(t.Context())
	is.NoErr(err)
	revised, err := c.Publish(t.Context(), base, setWith(name), publication)
	is.NoErr(err)
	return revised
}

func TestPublishAndFetch(t *testing.T) {
	is := is.New(t)
	var server registrystandin.Server
	c := newClient(&server)
	for i := range 70 { // past the earlier publications that one revision lists
		publish(t, c, fleet.DataCentreID(fmt.Sprintf("dc-%d", i+1)), fmt.Sprintf("publication-%d", i+1))
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
		t.Run(fmt.Sprintf("%d answers lost", lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var server registrystandin.Server
				c := newClient(&server)
				publish(t, c, "tp1", "publication-1")
				base, err := c.Head(t.Context())
				is.NoErr(err)
				server.SetFaults(registrystandin.Faults{LoseAnswers: lost})
				first, err := c.Publish(t.Context(), base, setWith("tp2"), "publication-2")
				is.NoErr(err)
				again, err := c.Publish(t.Context(), base, setWith("tp2"), "publication-2")
				is.NoErr(err)
				is.Equal(first.Revision, fleet.Revision(2))
				is.Equal(again, first)
				is.Equal(server.Counts().Applied, uint64(4)) // two revisions and two heads
				is.Equal(c.Counts()[registry.CallRetry] > 0, lost > 0)
			})
		})
	}
}

// A write whose caller gave up is applied late, after the caller has repeated it.
func TestLateWritePublishesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var server registrystandin.Server
		c := newClient(&server)
		publish(t, c, "tp1", "publication-1")
		base, err := c.Head(t.Context())
		is.NoErr(err)
		server.SetFaults(registrystandin.Faults{Delay: 1500 * time.Millisecond})
		_, err = c.Publish(t.Context(), base, setWith("tp2"), "publication-2")
		is.True(errors.Is(err, registry.ErrUnavailable))
		server.SetFaults(registrystandin.Faults{})
		revised, err := c.Publish(t.Context(), base, setWith("tp2"), "publication-2")
		is.NoErr(err)
		is.Equal(revised.Revision, fleet.Revision(2))
		time.Sleep(time.Minute)
		head, err := c.Head(t.Context())
		is.NoErr(err)
		is.Equal(head.Revision, fleet.Revision(2))
	})
}

// A repeated publication is found although others came after it.
func TestRepeatAfterOthers(t *testing.T) {
	is := is.New(t)
	var server registrystandin.Server
	c := newClient(&server)
	base, err := c.Head(t.Context())
	is.NoErr(err)
	first, err := c.Publish(t.Context(), base, setWith("tp1"), "publication-1")
	is.NoErr(err)
	is.Equal(publish(t, c, "tp1", "publication-1"), first) // from the head that it made
	publish(t, c, "tp2", "publication-2")
	publish(t, c, "tp3", "publication-3")
	for range 2 { // with the old head, then with the present one
		again, err := c.Publish(t.Context(), base, setWith("tp1"), "publication-1")
		is.NoErr(err)
		is.Equal(again, first)
		base, err = c.Head(t.Context())
		is.NoErr(err)
	}
	is.Equal(base.Revision, fleet.Revision(3))
	_, err = c.Publish(t.Context(), registry.Head{}, setWith("other"), "publication-1")
	is.True(errors.Is(err, registry.ErrRefused)) // the id belongs to another set
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
			set := setWith(fleet.DataCentreID(fmt.Sprintf("dc-%d", i)))
			_, errs[i] = newClient(&server).Publish(t.Context(), base, set, fmt.Sprintf("operator-%d", i))
		})
	}
	wg.Wait()
	final, err := newClient(&server).Fetch(t.Context(), 2)
	is.NoErr(err)
	won := 0
	for i, err := range errs {
		if err == nil {
			won++
			is.Equal(final.Publication, fmt.Sprintf("operator-%d", i))
			continue
		}
		conflict, ok := errors.Into[*registry.ConflictError](err)
		is.True(ok) // every loser is told who won
		is.Equal(conflict.Winner.Publication, final.Publication)
		is.True(errors.Is(err, registry.ErrConflict))
	}
	is.Equal(won, 1)
}

// A publisher that dies between its two writes leaves what is in force alone.
func TestHalfAppliedIsNotVisible(t *testing.T) {
	is := is.New(t)
	var server registrystandin.Server
	c := newClient(&server)
	publish(t, c, "tp1", "publication-1")
	base, err := c.Head(t.Context())
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	dying := newClient(&server)
	dying.HTTP.Transport = cutAfter{dying.HTTP.Transport, cancel, "/revisions/"}
	_, err = dying.Publish(ctx, base, setWith("tp2"), "publication-2")
	is.True(err != nil)
	is.Equal(server.Counts().Applied, uint64(3)) // the revision was stored
	head, err := c.Head(t.Context())
	is.NoErr(err)
	is.Equal(head, base)
	revised := publish(t, c, "tp3", "publication-3")
	is.Equal(revised.Revision, fleet.Revision(2))
	is.Equal(revised.Set.DataCentres[0].Name, fleet.DataCentreID("tp3"))
}

func TestStaleBaseConflicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var server registrystandin.Server
		c := newClient(&server)
		publish(t, c, "tp1", "publication-1")
		time.Sleep(time.Minute)
		publish(t, c, "tp2", "publication-2")
		server.SetFaults(registrystandin.Faults{Lag: 3 * time.Second})
		late := newClient(&server)
		base, err := late.Head(t.Context())
		is.NoErr(err)
		is.Equal(base.Revision, fleet.Revision(1))
		_, err = late.Publish(t.Context(), base, setWith("tp3"), "publication-3")
		conflict, ok := errors.Into[*registry.ConflictError](err)
		is.True(ok)
		is.Equal(conflict.Winner.Publication, "publication-2") // not the stale one
	})
}

func TestPrune(t *testing.T) {
	is := is.New(t)
	var server registrystandin.Server
	c := newClient(&server)
	for i := range 6 {
		publish(t, c, fleet.DataCentreID(fmt.Sprintf("dc-%d", i)), fmt.Sprintf("publication-%d", i))
	}
	head, err := c.Head(t.Context())
	is.NoErr(err)
	deleted, err := c.Prune(t.Context(), head, 2)
	is.NoErr(err)
	is.Equal(deleted, 4)
	for rev := fleet.Revision(1); rev <= 6; rev++ {
		_, err := c.Fetch(t.Context(), rev)
		is.Equal(errors.Is(err, registry.ErrNotFound), rev <= 4)
	}
}

func TestSinceFollowsState(t *testing.T) {
	is := is.New(t)
	var server registrystandin.Server
	c := newClient(&server)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c.Now = func() time.Time { return now }
	publish(t, c, "tp1", "publication-1")
	now = now.Add(time.Hour)
	same := publish(t, c, "tp1", "publication-2")
	is.True(same.Set.DataCentres[0].Since.IsZero()) // it has never changed
	set := setWith("tp1")
	set.DataCentres[0].State = config.StateOut
	base, err := c.Head(t.Context())
	is.NoErr(err)
	out, err := c.Publish(t.Context(), base, set, "publication-3")
	is.NoErr(err)
	is.Equal(out.Set.DataCentres[0].Since, now)
	is.True(out.Set.DataCentres[0].Previous.IsZero())
	changed := now
	now = now.Add(time.Minute)
	back := publish(t, c, "tp1", "publication-4")
	is.Equal(back.Set.DataCentres[0].Since, now)
	is.Equal(back.Set.DataCentres[0].Previous, changed)
}

package registry_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/registry"
	"github.com/rattanthread/rattanthread/registrystandin"
)

// TestPublicationAfterRestoration guards against a publication that a host with a lost
// revision takes for one that it has. Revisions 3 to 5 are lost and 3 is published again.
func TestPublicationAfterRestoration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var server registrystandin.Server
		operator, host := newClient(&server), newClient(&server)
		for _, name := range []string{"first", "second"} {
			publish(t, operator, fleet.DataCentreID(name), "publication-"+name)
			time.Sleep(time.Second)
		}
		restorePoint := time.Now()
		time.Sleep(time.Second)
		for _, name := range []string{"third", "fourth", "fifth"} {
			publish(t, operator, fleet.DataCentreID(name), "publication-"+name)
		}
		lost, err := host.Head(t.Context())
		is.NoErr(err)
		is.Equal(lost.Revision, fleet.Revision(5))

		time.Sleep(time.Second)
		server.Restore(time.Since(restorePoint))
		published := publish(t, operator, "again", "publication-again")
		is.Equal(published.Revision, fleet.Revision(3))
		is.True(published.History != lost.History)

		head, err := host.Watch(t.Context(), lost.Revision, time.Second)
		is.NoErr(err)
		is.Equal(head.Publication, "publication-again")
		fetched, err := host.FetchHead(t.Context(), head)
		is.NoErr(err)
		is.Equal(fetched.Set.DataCentres[0].Name, fleet.DataCentreID("again"))
		earlier, err := host.Fetch(t.Context(), 1) // for a rollback
		is.NoErr(err)
		is.Equal(earlier.Set.DataCentres[0].Name, fleet.DataCentreID("first"))
		next := publish(t, operator, "next", "publication-next")
		is.Equal(next.History, published.History)
	})
}

// TestLostBaseConflicts guards against a publication with an unknown outcome: the revision that
// it is based on was lost, and the restored store has assigned its version again.
func TestLostBaseConflicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var server registrystandin.Server
		first, second := newClient(&server), newClient(&server)
		base := publishBase(t, first)
		replaceBase(t, &server, second, base)
		_, err := first.Publish(t.Context(), base, newSet("third"), "publication-third")
		is.True(errors.Is(err, registry.ErrConflict))
		head, err := second.Head(t.Context())
		is.NoErr(err)
		is.Equal(head.Publication, "publication-other")
	})
}

// publishBase publishes two revisions, a second apart, and returns the head.
func publishBase(t *testing.T, client *registry.Client) registry.Head {
	t.Helper()
	publish(t, client, "first", "publication-first")
	time.Sleep(time.Second)
	publish(t, client, "second", "publication-second")
	base, err := client.Head(t.Context())
	is.New(t).NoErr(err)
	time.Sleep(time.Second)
	return base
}

// replaceBase restores the store from a copy without the base and publishes another revision,
// whose head has the same version.
func replaceBase(t *testing.T, server *registrystandin.Server, client *registry.Client, base registry.Head) {
	t.Helper()
	is := is.New(t)
	server.Restore(1500 * time.Millisecond)
	publish(t, client, "other", "publication-other")
	head, err := client.Head(t.Context())
	is.NoErr(err)
	is.Equal(head.Version, base.Version)
}

// beforeStoring calls do before the first write of a revision.
type beforeStoring struct {
	next http.RoundTripper
	do   func()
}

func (b *beforeStoring) RoundTrip(r *http.Request) (*http.Response, error) {
	if do := b.do; do != nil && r.Method == http.MethodPut {
		b.do = nil
		do()
	}
	return b.next.RoundTrip(r)
}

// TestRestorationDuringPublication guards against a publication that replaces another one: the
// store is restored after the base was read and before the head is written.
func TestRestorationDuringPublication(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var server registrystandin.Server
		first, second := newClient(&server), newClient(&server)
		base := publishBase(t, first)
		first.HTTP = &http.Client{Transport: &beforeStoring{next: first.HTTP.Transport, do: func() { replaceBase(t, &server, second, base) }}}
		_, err := first.Publish(t.Context(), base, newSet("third"), "publication-third")
		is.True(errors.Is(err, registry.ErrConflict))
		head, err := second.Head(t.Context())
		is.NoErr(err)
		is.Equal(head.Publication, "publication-other")
	})
}

package viewcheck

import (
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
)

// settledTime is after the end of all grace periods.
const settledTime = time.Hour

// host is an entry host: its state, how it reads the store, and the host that it
// follows.
type host struct {
	tracker  catalogue.Tracker
	follower catalogue.Follower
	// staleList is a first list whose later changes have not been read yet, as in the
	// reader of an entry host.
	staleList *catalogue.Update
	parent    *host
	// subscription is that of this host to its parent.
	subscription catalogue.Subscription
	inbox        []catalogue.Update
}

func newHost(source catalogue.Source) *host {
	return &host{follower: catalogue.Follower{Source: source}}
}

// start is the time at which a simulation starts.
var start = time.Unix(0, 0)

func (h *host) version() catalogue.Version { return h.tracker.Version(h.follower.Source) }

// view returns the version of each record that the host holds.
func (h *host) view() map[string]catalogue.Version {
	versions := make(map[string]catalogue.Version)
	for _, r := range h.tracker.Snapshot(start, h.follower.Source).Records {
		versions[r.Name] = r.Changed
	}
	return versions
}

// read makes the host's next call as the reader of an entry host does.
func (s *simulation) read(entryHost *host, readVersion func() catalogue.Version) {
	entryHost.follower.Advance(s.now, entryHost.version(), time.Time{})
	call := entryHost.follower.Next(s.now)
	switch {
	case call.Full && call.Linearizable:
		list := s.list(s.store.version, false)
		s.apply(entryHost, list)
		entryHost.follower.Succeeded(s.now, list.Version, s.now)
		return
	case call.Full && entryHost.staleList == nil:
		list := s.list(readVersion, true)
		entryHost.staleList = &list
		return // a later call reads the changes since
	case call.Full:
		call.After = entryHost.staleList.Version
	}
	confirmedAt := time.Time{}
	if call.Linearizable {
		readVersion, confirmedAt = s.store.version, s.now
	}
	changes, ok := s.watch(call.After, readVersion())
	if !ok {
		entryHost.follower.HistoryExpired()
		entryHost.staleList = nil
		return
	}
	if entryHost.staleList != nil {
		s.apply(entryHost, *entryHost.staleList)
		entryHost.staleList = nil
	}
	s.apply(entryHost, changes)
	entryHost.follower.Succeeded(s.now, changes.Version, confirmedAt)
}

// list reads two pages. The version of a stale page is that of its latest record.
func (s *simulation) list(readVersion func() catalogue.Version, stale bool) catalogue.Update {
	var listing catalogue.Listing
	for second := false; ; second = true {
		page := s.store.page(second, readVersion())
		if stale {
			page.Version = s.watchVersion(page)
		}
		next := ""
		if !second {
			next = recordName(recordCount/2 - 1)
		}
		if list, done := listing.Add(s.now, page, next); done {
			return list
		}
	}
}

// watch returns the changes after a version up to another one, or false if the store does not
// have them.
func (s *simulation) watch(after, version catalogue.Version) (catalogue.Update, bool) {
	if s.mutant == IgnoreEpoch {
		after = catalogue.NewVersion(s.store.number(), after.Revision())
	}
	return s.store.watch(after, version)
}

// watchVersion returns the version after which a stale page is watched.
func (s *simulation) watchVersion(page catalogue.Update) catalogue.Version {
	if s.mutant == TrustRevision {
		return s.store.version()
	}
	version := catalogue.NewVersion(s.store.number(), firstRevision)
	for _, r := range page.Records {
		version = max(version, r.Changed)
	}
	return version
}

// apply applies an update to a host and forwards it to the hosts that follow it.
func (s *simulation) apply(entryHost *host, update catalogue.Update) {
	before := entryHost.version()
	entryHost.tracker.Apply(s.now, update)
	if entryHost.version() == before {
		return
	}
	for _, child := range s.hosts {
		if child.parent != entryHost {
			continue
		}
		if needed, ok := child.subscription.Next(s.now, &entryHost.tracker, update, before); ok {
			child.inbox = append(child.inbox, needed)
		}
	}
}

// deliver applies one queued message of the parent to a host, or all of them and then
// the parent's version.
func (s *simulation) deliver(entryHost *host, all bool) {
	if entryHost.parent == nil {
		return
	}
	version := entryHost.parent.version()
	for len(entryHost.inbox) > 0 {
		update := entryHost.inbox[0]
		entryHost.inbox = entryHost.inbox[1:]
		s.apply(entryHost, update)
		if !all {
			return
		}
	}
	if version > 0 {
		s.apply(entryHost, catalogue.Update{Source: entryHost.follower.Source, Version: version})
	}
}

// subscribe makes a host follow another one, unless that one already follows it.
func (s *simulation) subscribe(child, parent *host) {
	for ancestor := parent; ancestor != nil; ancestor = ancestor.parent {
		if ancestor == child {
			return
		}
	}
	child.unsubscribe()
	child.parent = parent
	child.subscription = catalogue.Subscription{}
	child.subscription.Versions[child.follower.Source] = child.version()
	child.inbox = child.subscription.Missing(s.now, &parent.tracker)
}

// unsubscribe ends a feed. Queued messages are lost.
func (h *host) unsubscribe() { h.parent, h.inbox = nil, nil }

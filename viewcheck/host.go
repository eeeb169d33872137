package viewcheck

import (
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
)

// now is the time of all events: nothing in the simulation depends on it.
var now = time.Unix(0, 0)

// host is an entry host: its state, how it reads the store, and the host that it
// follows.
type host struct {
	tracker  catalogue.Tracker
	follower catalogue.Follower
	// staleList is a first list whose later changes have not been read yet, as in the
	// reader of an entry host.
	staleList *catalogue.Update
	parent    *host
	inbox     []catalogue.Update
}

func newHost(source catalogue.Source) *host {
	return &host{follower: catalogue.Follower{Source: source}}
}

func (h *host) version() catalogue.Version { return h.tracker.Version(h.follower.Source) }

// view returns the version of each record that the host holds.
func (h *host) view() map[string]catalogue.Version {
	versions := make(map[string]catalogue.Version)
	for _, r := range h.tracker.Snapshot(now, h.follower.Source).Records {
		versions[r.Name] = r.Changed
	}
	return versions
}

// read makes the host's next call as the reader of an entry host does.
func (s *simulation) read(h *host, readRevision func() catalogue.Version) {
	h.follower.Advance(h.version())
	call := h.follower.Next()
	switch {
	case call.Linearizable:
		list := s.list(s.store.revision, false)
		s.apply(h, list)
		h.follower.Succeeded(list.Version)
		return
	case call.Full && h.staleList == nil:
		list := s.list(readRevision, true)
		h.staleList = &list
		return // a later call reads the changes since
	case call.Full:
		call.After = h.staleList.Version
	}
	changes, ok := s.store.watch(call.After, readRevision())
	if !ok {
		h.follower.HistoryExpired()
		h.staleList = nil
		return
	}
	if h.staleList != nil {
		s.apply(h, *h.staleList)
		h.staleList = nil
	}
	s.apply(h, changes)
	h.follower.Succeeded(changes.Version)
}

// list reads two pages. The version of a stale page is that of its latest record.
func (s *simulation) list(readRevision func() catalogue.Version, stale bool) catalogue.Update {
	var l catalogue.Listing
	for second := false; ; second = true {
		page := s.store.page(second, readRevision())
		if stale {
			page.Version = s.watchVersion(page)
		}
		next := ""
		if !second {
			next = recordName(recordCount/2 - 1)
		}
		if list, done := l.Add(now, page, next); done {
			return list
		}
	}
}

// watchVersion returns the version after which a stale page is watched.
func (s *simulation) watchVersion(page catalogue.Update) catalogue.Version {
	if s.mutant == TrustRevision {
		return s.store.revision()
	}
	version := catalogue.Version(firstVersion)
	for _, r := range page.Records {
		version = max(version, r.Changed)
	}
	return version
}

// apply applies an update to a host and forwards it to the hosts that follow it.
func (s *simulation) apply(h *host, update catalogue.Update) {
	before := h.version()
	h.tracker.Apply(now, update)
	if update.Version <= before {
		return
	}
	if update.Full {
		update = h.tracker.Since(now, update.Source, before)
	}
	for _, child := range s.hosts {
		if child.parent == h {
			child.inbox = append(child.inbox, update)
		}
	}
}

// deliver applies one queued message of the parent to a host, or all of them and then
// the parent's version.
func (s *simulation) deliver(h *host, all bool) {
	if h.parent == nil {
		return
	}
	version := h.parent.version()
	for len(h.inbox) > 0 {
		update := h.inbox[0]
		h.inbox = h.inbox[1:]
		s.apply(h, update)
		if !all {
			return
		}
	}
	if version > 0 {
		s.apply(h, catalogue.Update{Source: h.follower.Source, Version: version})
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
	if parent.version() > child.version() {
		child.inbox = append(child.inbox, parent.tracker.Since(now, child.follower.Source, child.version()))
	}
}

// unsubscribe ends a feed. Queued messages are lost.
func (h *host) unsubscribe() { h.parent, h.inbox = nil, nil }

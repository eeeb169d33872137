package viewcheck

import (
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
)

// now is the time of all that happens: nothing here depends on it.
var now = time.Unix(0, 0)

// host is an entry host: its view, how it reads the store, and whom it learns from.
type host struct {
	tracker  catalogue.Tracker
	follower catalogue.Follower
	// old is as in the reader of an entry host.
	old    *catalogue.Answer
	parent *host
	inbox  []catalogue.Answer
}

func newHost(source catalogue.Source) *host {
	return &host{follower: catalogue.Follower{Source: source}}
}

func (h *host) version() catalogue.Version { return h.tracker.Version(h.follower.Source) }

// view returns the version of each record that the host knows.
func (h *host) view() map[string]catalogue.Version {
	known := make(map[string]catalogue.Version)
	for _, r := range h.tracker.Whole(now, h.follower.Source).Records {
		known[r.Name] = r.Changed
	}
	return known
}

// read makes the host's next call, as its reader does.
func (p *play) read(h *host, replica func() catalogue.Version) {
	h.follower.Learned(h.version())
	call := h.follower.Next()
	switch {
	case call.Exact:
		whole := p.list(p.store.revision, false)
		p.take(h, whole)
		h.follower.Answered(whole.Version)
		return
	case call.Whole && h.old == nil:
		list := p.list(replica, true)
		h.old = &list
		return // what has changed since is asked for later
	case call.Whole:
		call.After = h.old.Version
	}
	changes, ok := p.store.watch(call.After, replica())
	if !ok {
		h.follower.Forgotten()
		h.old = nil
		return
	}
	if h.old != nil {
		p.take(h, *h.old)
		h.old = nil
	}
	p.take(h, changes)
	h.follower.Answered(changes.Version)
}

// list reads two pages. The version of an old one is that of its latest record.
func (p *play) list(replica func() catalogue.Version, old bool) catalogue.Answer {
	var l catalogue.Listing
	for second := false; ; second = true {
		page := p.store.page(second, replica())
		if old {
			page.Version = p.versionOf(page)
		}
		next := ""
		if !second {
			next = nameOf(names/2 - 1)
		}
		if whole, done := l.Add(now, page, next); done {
			return whole
		}
	}
}

// versionOf returns from where the changes of an old page are watched for.
func (p *play) versionOf(page catalogue.Answer) catalogue.Version {
	if p.mutant == TrustRevision {
		return p.store.revision()
	}
	version := catalogue.Version(firstVersion)
	for _, r := range page.Records {
		version = max(version, r.Changed)
	}
	return version
}

// take lets a host take in an answer and pass it on.
func (p *play) take(h *host, a catalogue.Answer) {
	before := h.version()
	h.tracker.Take(now, a)
	if a.Version <= before {
		return
	}
	if a.Whole {
		a = h.tracker.Since(now, a.Source, before)
	}
	for _, child := range p.hosts {
		if child.parent == h {
			child.inbox = append(child.inbox, a)
		}
	}
}

// deliver gives a host one message of its parent, or all of them and the parent's
// version.
func (p *play) deliver(h *host, all bool) {
	if h.parent == nil {
		return
	}
	version := h.parent.version()
	for len(h.inbox) > 0 {
		a := h.inbox[0]
		h.inbox = h.inbox[1:]
		p.take(h, a)
		if !all {
			return
		}
	}
	if version > 0 {
		p.take(h, catalogue.Answer{Source: h.follower.Source, Version: version})
	}
}

// join makes a host learn from another one, unless that one learns from it.
func (p *play) join(child, parent *host) {
	for above := parent; above != nil; above = above.parent {
		if above == child {
			return
		}
	}
	child.leave()
	child.parent = parent
	if parent.version() > child.version() {
		child.inbox = append(child.inbox, parent.tracker.Since(now, child.follower.Source, child.version()))
	}
}

// leave ends a feed. What is under way is lost.
func (h *host) leave() { h.parent, h.inbox = nil, nil }

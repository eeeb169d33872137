package backend

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// poll requests from all hosts their shares and demand for the cold and warming
// servers of which this host is the allocator.
func (p *Pool) poll(now time.Time) []fleet.Send {
	if p.recentlyStarted(now) || now.Sub(p.lastPoll) < p.limits().CreditLifetime/2 {
		return nil
	}
	var servers []ServerPoll
	for _, id := range p.serverIDs {
		s := p.servers[id]
		if s.grantsCredit() {
			servers = append(servers, ServerPoll{Server: id, Predecessor: s.allocator.predecessor})
		}
	}
	if len(servers) == 0 {
		return nil
	}
	p.lastPoll = now
	m := &CreditPoll{Poll: p.polls.next(now), Servers: servers}
	var sends []fleet.Send
	for _, h := range p.hosts {
		if h != p.self {
			sends = append(sends, fleet.Send{To: h, Message: m})
		}
	}
	return append(sends, p.pollSelf(now, m)...)
}

// pollSelf runs the exchange for this host itself, without messages.
func (p *Pool) pollSelf(now time.Time, m *CreditPoll) []fleet.Send {
	for _, request := range p.handlePoll(now, p.self, m) {
		for _, reply := range p.handleRequest(now, p.self, request.Message.(*CreditRequest)) {
			p.handleGrant(reply.Message.(*CreditGrant))
		}
	}
	return nil
}

// recentlyStarted reports whether promises and credit of an earlier process on this
// host may still be valid. The host gives none until they have expired.
func (p *Pool) recentlyStarted(now time.Time) bool {
	return now.Sub(p.started) < p.limits().promiseHoldTime()
}

func (s *server) grantsCredit() bool {
	if s.allocator == nil || s.drained {
		return false
	}
	return s.record.Phase == fleet.ServerCold || s.record.Phase == fleet.ServerWarming
}

// handlePoll promises this host's share to the polling allocator, unless another
// allocator may still use it.
func (p *Pool) handlePoll(now time.Time, from fleet.HostID, m *CreditPoll) []fleet.Send {
	if p.recentlyStarted(now) {
		return nil
	}
	request := &CreditRequest{Poll: m.Poll, KnownHosts: len(p.lastSeen)}
	for _, polled := range m.Servers {
		s := p.servers[polled.Server]
		if s == nil || !s.promiseTo(now, from, polled.Predecessor, p.limits()) {
			continue
		}
		wanted, prefetch := s.bucket.collectDemand(now)
		request.Servers = append(request.Servers, ServerDemand{
			Server:   polled.Server,
			Wanted:   wanted,
			Prefetch: prefetch,
			Served:   s.served,
		})
	}
	if len(request.Servers) == 0 {
		return nil
	}
	request.ID = p.requests.next(now)
	return []fleet.Send{{To: from, Message: request}}
}

func (s *server) promiseTo(now time.Time, allocator, predecessor fleet.HostID, l Limits) bool {
	free := !now.Before(s.promise.until) || s.promise.to == allocator
	inherited := predecessor != "" && s.promise.to == predecessor
	if !free && !inherited {
		return false
	}
	s.promise = promise{to: allocator, until: now.Add(l.promiseHoldTime())}
	return true
}

// handleRequest records the promise and the served work of the requesting host, and
// grants it credit within the bound.
func (p *Pool) handleRequest(now time.Time, from fleet.HostID, m *CreditRequest) []fleet.Send {
	sent, ok := p.polls.lookUp(m.Poll, false)
	if !ok {
		return nil
	}
	until := sent.Add(p.limits().PromiseLifetime)
	reply := &CreditGrant{Request: m.ID}
	for _, demand := range m.Servers {
		s := p.servers[demand.Server]
		if s == nil || !s.grantsCredit() {
			continue
		}
		a := s.allocator
		a.promises[from] = until
		a.hostCounts[from] = m.KnownHosts
		a.recordServed(from, demand.Served)
		a.load.addWanted(demand.Wanted)
		wanted := demand.Wanted
		if demand.Prefetch {
			wanted = 1
		}
		count := p.grantable(now, s, wanted)
		if count == 0 {
			continue
		}
		s.ledger.add(now.Add(p.limits().creditHoldTime()), count)
		reply.Grants = append(reply.Grants, ServerGrant{Server: demand.Server, Count: count})
	}
	if len(reply.Grants) == 0 {
		return nil
	}
	return []fleet.Send{{To: from, Message: reply}}
}

func (a *allocator) recordServed(from fleet.HostID, total uint64) {
	previous, ok := a.served[from]
	a.served[from] = total
	if ok && total > previous {
		a.load.addServed(float64(total - previous))
	}
}

// grantable returns how much credit to grant to one host: at most an equal share of
// the bound, so that the first host to request credit does not get all of it.
func (p *Pool) grantable(now time.Time, s *server, wanted int) int {
	bound := s.allocator.bound(now, s, len(p.lastSeen))
	free := bound - s.ledger.outstanding(now)
	share := max(1, bound/max(1, len(p.hosts)))
	return max(0, min(wanted, free, share))
}

// handleGrant adds the granted credit. Its lifetime starts with the request, so
// that of a late grant is short or over. Each request is granted only once.
func (p *Pool) handleGrant(m *CreditGrant) {
	requested, ok := p.requests.lookUp(m.Request, true)
	if !ok {
		return
	}
	expires := requested.Add(p.limits().CreditLifetime)
	for _, g := range m.Grants {
		if s := p.servers[g.Server]; s != nil {
			s.bucket.add(grant{count: g.Count, expires: expires})
		}
	}
}

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
		srv := p.servers[id]
		if srv.grantsCredit() {
			servers = append(servers, ServerPoll{Server: id, Predecessor: srv.allocator.predecessor})
		}
	}
	if len(servers) == 0 {
		return nil
	}
	p.lastPoll = now
	message := &CreditPoll{Poll: p.polls.next(now), Servers: servers}
	var sends []fleet.Send
	for _, host := range p.hosts {
		if host != p.self {
			sends = append(sends, fleet.Send{To: host, Message: message})
		}
	}
	return append(sends, p.pollSelf(now, message)...)
}

// pollSelf runs the exchange for this host itself, without messages.
func (p *Pool) pollSelf(now time.Time, poll *CreditPoll) []fleet.Send {
	for _, request := range p.handlePoll(now, p.self, poll) {
		for _, reply := range p.handleRequest(now, p.self, request.Message.(*CreditRequest)) {
			p.handleGrant(reply.Message.(*CreditGrant))
		}
	}
	return nil
}

// recentlyStarted reports whether promises and credit of an earlier process on this
// host may still be valid. Until they have expired, the host neither promises its
// shares nor grants credit.
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
func (p *Pool) handlePoll(now time.Time, from fleet.HostID, poll *CreditPoll) []fleet.Send {
	if p.recentlyStarted(now) {
		return nil
	}
	request := &CreditRequest{Poll: poll.Poll, KnownHosts: len(p.lastSeen)}
	for _, polled := range poll.Servers {
		srv := p.servers[polled.Server]
		if srv == nil || !srv.promiseTo(now, from, polled.Predecessor, p.limits()) {
			continue
		}
		wanted, prefetch := srv.bucket.collectDemand(now)
		request.Servers = append(request.Servers, ServerDemand{
			Server:   polled.Server,
			Wanted:   wanted,
			Prefetch: prefetch,
			Served:   srv.served,
		})
	}
	if len(request.Servers) == 0 {
		return nil
	}
	request.ID = p.requests.next(now)
	return []fleet.Send{{To: from, Message: request}}
}

func (s *server) promiseTo(now time.Time, allocator, predecessor fleet.HostID, limits Limits) bool {
	free := !now.Before(s.promise.until) || s.promise.to == allocator
	inherited := predecessor != "" && s.promise.to == predecessor
	if !free && !inherited {
		return false
	}
	s.promise = promise{to: allocator, until: now.Add(limits.promiseHoldTime())}
	return true
}

// handleRequest records the promise and the served work of the requesting host, and
// grants it credit within the bound.
func (p *Pool) handleRequest(now time.Time, from fleet.HostID, request *CreditRequest) []fleet.Send {
	sent, ok := p.polls.lookUp(request.Poll, false)
	if !ok {
		return nil
	}
	until := sent.Add(p.limits().PromiseLifetime)
	reply := &CreditGrant{Request: request.ID}
	for _, demand := range request.Servers {
		srv := p.servers[demand.Server]
		if srv == nil || !srv.grantsCredit() {
			continue
		}
		alloc := srv.allocator
		alloc.promises[from] = until
		alloc.hostCounts[from] = request.KnownHosts
		alloc.recordServed(from, demand.Served)
		alloc.load.addWanted(demand.Wanted)
		wanted := demand.Wanted
		if demand.Prefetch {
			wanted = 1
		}
		count := p.grantable(now, srv, wanted)
		if count == 0 {
			continue
		}
		srv.ledger.add(now.Add(p.limits().creditHoldTime()), count)
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
func (p *Pool) grantable(now time.Time, srv *server, wanted int) int {
	bound := srv.allocator.bound(now, srv, len(p.lastSeen))
	free := bound - srv.ledger.outstanding(now)
	share := max(1, bound/max(1, len(p.hosts)))
	return max(0, min(wanted, free, share))
}

// handleGrant adds the granted credit. Its lifetime starts with the request, so credit
// that is granted late expires early or at once. Each request is granted only once.
func (p *Pool) handleGrant(reply *CreditGrant) {
	requested, ok := p.requests.lookUp(reply.Request, true)
	if !ok {
		return
	}
	expires := requested.Add(p.limits().CreditLifetime)
	for _, g := range reply.Grants {
		if s := p.servers[g.Server]; s != nil {
			s.bucket.add(grant{count: g.Count, expires: expires})
		}
	}
}

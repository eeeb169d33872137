package backend

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// poll asks all hosts for their shares and demand of the cold servers that
// this host keeps.
func (p *Pool) poll(now time.Time) []fleet.Send {
	if p.isFresh(now) || now.Sub(p.lastPoll) < p.limits().CreditLifetime/2 {
		return nil
	}
	var kept []ServerPoll
	for _, id := range p.sorted {
		s := p.servers[id]
		if s.lends() {
			kept = append(kept, ServerPoll{Server: id, Succeeds: s.keeping.succeeds})
		}
	}
	if len(kept) == 0 {
		return nil
	}
	p.lastPoll = now
	m := &CreditPoll{Poll: p.polls.next(now), Servers: kept}
	var sends []fleet.Send
	for _, h := range p.hosts {
		if h != p.self {
			sends = append(sends, fleet.Send{To: h, Message: m})
		}
	}
	return append(sends, p.pollSelf(now, m)...)
}

// pollSelf runs the exchange with this host itself, which needs no messages.
func (p *Pool) pollSelf(now time.Time, m *CreditPoll) []fleet.Send {
	for _, ask := range p.answerPoll(now, p.self, m) {
		for _, granted := range p.answerAsk(now, p.self, ask.Message.(*CreditAsk)) {
			p.takeGrant(granted.Message.(*CreditGrant))
		}
	}
	return nil
}

// isFresh reports whether promises and credit that an earlier life of this host
// gave may still hold. Until they have lapsed the host gives none.
func (p *Pool) isFresh(now time.Time) bool {
	return now.Sub(p.started) < p.limits().lapse()
}

func (s *server) lends() bool {
	if s.keeping == nil || s.drained {
		return false
	}
	return s.record.Phase == fleet.ServerCold || s.record.Phase == fleet.ServerWarming
}

// answerPoll leaves this host's share to the keeper that polls, unless another
// keeper may still use it.
func (p *Pool) answerPoll(now time.Time, from fleet.HostID, m *CreditPoll) []fleet.Send {
	if p.isFresh(now) {
		return nil
	}
	ask := &CreditAsk{Poll: m.Poll, Known: len(p.known)}
	for _, polled := range m.Servers {
		s := p.servers[polled.Server]
		if s == nil || !s.promiseTo(now, from, polled.Succeeds, p.limits()) {
			continue
		}
		wanted, stock := s.tank.takeDemand(now)
		ask.Servers = append(ask.Servers, ServerAsk{
			Server: polled.Server,
			Wanted: wanted,
			Stock:  stock,
			Served: s.served,
		})
	}
	if len(ask.Servers) == 0 {
		return nil
	}
	ask.Ask = p.asks.next(now)
	return []fleet.Send{{To: from, Message: ask}}
}

func (s *server) promiseTo(now time.Time, keeper, succeeds fleet.HostID, l Limits) bool {
	free := !now.Before(s.promise.until) || s.promise.to == keeper
	inherited := succeeds != "" && s.promise.to == succeeds
	if !free && !inherited {
		return false
	}
	s.promise = promise{to: keeper, until: now.Add(l.lapse())}
	return true
}

// answerAsk notes the share and the served work of the asking host, and grants
// it credit as far as the bound allows.
func (p *Pool) answerAsk(now time.Time, from fleet.HostID, m *CreditAsk) []fleet.Send {
	sent, ok := p.polls.take(m.Poll, false)
	if !ok {
		return nil
	}
	until := sent.Add(p.limits().PromiseLifetime)
	answer := &CreditGrant{Ask: m.Ask}
	for _, asked := range m.Servers {
		s := p.servers[asked.Server]
		if s == nil || !s.lends() {
			continue
		}
		k := s.keeping
		k.promises[from] = until
		k.known[from] = m.Known
		k.noteServed(from, asked.Served)
		k.load.want(asked.Wanted)
		wanted := asked.Wanted
		if asked.Stock {
			wanted = 1
		}
		count := p.grantable(now, s, wanted)
		if count == 0 {
			continue
		}
		s.ledger.add(now.Add(p.limits().creditHold()), count)
		answer.Grants = append(answer.Grants, ServerGrant{Server: asked.Server, Count: count})
	}
	if len(answer.Grants) == 0 {
		return nil
	}
	return []fleet.Send{{To: from, Message: answer}}
}

func (k *keeping) noteServed(from fleet.HostID, total uint64) {
	before, seen := k.served[from]
	k.served[from] = total
	if seen && total > before {
		k.load.serve(float64(total - before))
	}
}

// grantable gives one host at most an even part of the bound, so that the first
// to ask does not take all.
func (p *Pool) grantable(now time.Time, s *server, wanted int) int {
	bound := s.keeping.bound(now, s, len(p.known))
	free := bound - s.ledger.outstanding(now)
	part := max(1, bound/max(1, len(p.hosts)))
	return max(0, min(wanted, free, part))
}

// takeGrant adds credit. It lasts from when it was asked for, so a late grant
// is short or worthless, and each ask is granted once.
func (p *Pool) takeGrant(m *CreditGrant) {
	asked, ok := p.asks.take(m.Ask, true)
	if !ok {
		return
	}
	expires := asked.Add(p.limits().CreditLifetime)
	for _, g := range m.Grants {
		if s := p.servers[g.Server]; s != nil {
			s.tank.add(grant{count: g.Count, expires: expires})
		}
	}
}

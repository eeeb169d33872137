package capacity

import (
	"math/rand/v2"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/flow"
	"github.com/rattanthread/rattanthread/membership"
	"github.com/rattanthread/rattanthread/request"
)

// peers are the other hosts. They hold what the measured host holds, and answer
// at once.
type peers struct {
	hosts  []fleet.Host // all, the measured one first
	live   []fleet.HostID
	state  membership.State // of the measured host, which all of them adopt
	acks   membership.Acks
	random *rand.Rand
	lease  request.LeaseRequest // the last of the measured host
	poll   backend.PollID
	ask    backend.CreditRequestID
	kept   map[fleet.HostID][]fleet.ServerID
	dead   map[fleet.HostID]bool
}

func newPeers(size Size) *peers {
	p := &peers{
		hosts:  size.hosts(),
		random: rand.New(rand.NewPCG(1, 1)),
		kept:   make(map[fleet.HostID][]fleet.ServerID),
		dead:   make(map[fleet.HostID]bool),
	}
	for _, h := range p.hosts {
		p.live = append(p.live, h.ID)
	}
	for i := range size.Servers {
		id := size.server(i).Name
		keeper := fleet.Rendezvous("keeper/"+string(id), p.live)
		p.kept[keeper] = append(p.kept[keeper], id)
	}
	return p
}

func (p *peers) self() fleet.Host { return p.hosts[0] }

func (p *peers) last() fleet.Host { return p.hosts[len(p.hosts)-1] }

// any returns a random peer that is running.
func (p *peers) any() fleet.Host {
	for {
		if h := p.hosts[1+p.random.IntN(len(p.hosts)-1)]; !p.dead[h.ID] {
			return h
		}
	}
}

func claimOf(h fleet.Host, contact bool) membership.Claim {
	c := membership.Claim{Host: h.ID, Status: membership.Alive, Incarnation: h.Incarnation}
	if contact {
		c.Contact = &membership.Contact{
			DataCentre: h.DataCentre, PeerAddress: h.PeerAddress, HandoffAddress: h.HandoffAddress,
		}
	}
	return c
}

func (p *peers) header(from fleet.Host) membership.Header {
	return membership.Header{
		Self: claimOf(from, true), State: p.state, About: claimOf(p.self(), false), Acks: p.acks,
	}
}

// note adopts the state that the measured host announces.
func (p *peers) note(h *membership.Header) {
	p.state = h.State
	p.acks = membership.Acks{ListHash: h.Acks.ListHash, Complete: true}
}

// answer returns what the peer to says to a message, or nil.
func (p *peers) answer(to fleet.Host, m fleet.Message) fleet.Message {
	if p.dead[to.ID] {
		return nil
	}
	switch m := m.(type) {
	case *membership.Ping:
		p.note(&m.Header)
		return &membership.Ack{Header: p.header(to), Sequence: m.Sequence, Subject: to.ID}
	case *membership.Gossip:
		p.note(&m.Header)
	case *backend.CreditPoll:
		return p.answerPoll(m)
	case *backend.CreditRequest:
		return grantStock(m)
	case *request.LeaseRequest:
		p.lease = *m
		return &request.LeasePromise{Ring: m.Ring, Number: m.Number, Given: true, Settled: true}
	case *request.HistoryRequest:
		return &request.HistoryPart{Ring: m.Ring, Last: true, Settled: true}
	case *flow.Fetch:
		return &flow.Records{ID: m.ID, Parts: 1}
	}
	return nil
}

// answerPoll asks for one unit of credit for each server.
func (p *peers) answerPoll(m *backend.CreditPoll) fleet.Message {
	p.ask++
	ask := &backend.CreditRequest{Poll: m.Poll, ID: p.ask, KnownHosts: len(p.hosts)}
	for _, s := range m.Servers {
		ask.Servers = append(ask.Servers, backend.ServerDemand{Server: s.Server, Prefetch: true})
	}
	return ask
}

func grantStock(m *backend.CreditRequest) fleet.Message {
	grant := &backend.CreditGrant{Request: m.ID}
	for _, s := range m.Servers {
		if s.Prefetch || s.Wanted > 0 {
			grant.Grants = append(grant.Grants, backend.ServerGrant{Server: s.Server, Count: 1})
		}
	}
	return grant
}

// pollOf returns the poll that a peer sends while the servers in cold are cold.
func (p *peers) pollOf(id fleet.HostID, cold map[fleet.ServerID]bool) *backend.CreditPoll {
	poll := &backend.CreditPoll{Poll: p.poll}
	for _, s := range p.kept[id] {
		if cold[s] {
			poll.Servers = append(poll.Servers, backend.ServerPoll{Server: s})
		}
	}
	if len(poll.Servers) == 0 {
		return nil
	}
	return poll
}

package capacity

import (
	"math/rand/v2"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/flow"
	"github.com/rattanthread/rattanthread/membership"
	"github.com/rattanthread/rattanthread/request"
)

// peers simulates the other hosts. They have the same state as the measured host and
// respond immediately.
type peers struct {
	hosts       []fleet.Host // all hosts, the measured one first
	ids         []fleet.HostID
	state       membership.State // state of the measured host, which all peers adopt
	acks        membership.Acks
	random      *rand.Rand
	lastLease   request.LeaseRequest // last request of the measured host
	lastPoll    backend.PollID
	lastRequest backend.CreditRequestID
	allocated   map[fleet.HostID][]fleet.ServerID // servers by allocator
	dead        map[fleet.HostID]bool
}

func newPeers(size Size) *peers {
	p := &peers{
		hosts:     size.hosts(),
		random:    rand.New(rand.NewPCG(1, 1)),
		allocated: make(map[fleet.HostID][]fleet.ServerID),
		dead:      make(map[fleet.HostID]bool),
	}
	for _, h := range p.hosts {
		p.ids = append(p.ids, h.ID)
	}
	for i := range size.Servers {
		id := size.server(i).Name
		allocator := fleet.Rendezvous("keeper/"+string(id), p.ids)
		p.allocated[allocator] = append(p.allocated[allocator], id)
	}
	return p
}

func (p *peers) self() fleet.Host { return p.hosts[0] }

func (p *peers) lastHost() fleet.Host { return p.hosts[len(p.hosts)-1] }

// randomLive returns a random peer that is running.
func (p *peers) randomLive() fleet.Host {
	for {
		if h := p.hosts[1+p.random.IntN(len(p.hosts)-1)]; !p.dead[h.ID] {
			return h
		}
	}
}

func newClaim(h fleet.Host, contact bool) membership.Claim {
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
		Self: newClaim(from, true), State: p.state, About: newClaim(p.self(), false), Acks: p.acks,
	}
}

// adoptState adopts the state in a message of the measured host.
func (p *peers) adoptState(h *membership.Header) {
	p.state = h.State
	p.acks = membership.Acks{ListHash: h.Acks.ListHash, Complete: true}
}

// respond returns the response of a peer to a message, or nil.
func (p *peers) respond(to fleet.Host, m fleet.Message) fleet.Message {
	if p.dead[to.ID] {
		return nil
	}
	switch m := m.(type) {
	case *membership.Ping:
		p.adoptState(&m.Header)
		return &membership.Ack{Header: p.header(to), Sequence: m.Sequence, Subject: to.ID}
	case *membership.Gossip:
		p.adoptState(&m.Header)
	case *backend.CreditPoll:
		return p.creditRequest(m)
	case *backend.CreditRequest:
		return grantCredit(m)
	case *request.LeaseRequest:
		p.lastLease = *m
		return &request.LeasePromise{Ring: m.Ring, Number: m.Number, Given: true, Settled: true}
	case *request.HistoryRequest:
		return &request.HistoryPart{Ring: m.Ring, Last: true, Settled: true}
	case *flow.Fetch:
		return &flow.Records{ID: m.ID, Parts: 1}
	}
	return nil
}

// creditRequest returns a request for one unit of credit for each server.
func (p *peers) creditRequest(m *backend.CreditPoll) fleet.Message {
	p.lastRequest++
	creditRequest := &backend.CreditRequest{Poll: m.Poll, ID: p.lastRequest, KnownHosts: len(p.hosts)}
	for _, s := range m.Servers {
		creditRequest.Servers = append(creditRequest.Servers, backend.ServerDemand{Server: s.Server, Prefetch: true})
	}
	return creditRequest
}

func grantCredit(m *backend.CreditRequest) fleet.Message {
	grant := &backend.CreditGrant{Request: m.ID}
	for _, s := range m.Servers {
		if s.Prefetch || s.Wanted > 0 {
			grant.Grants = append(grant.Grants, backend.ServerGrant{Server: s.Server, Count: 1})
		}
	}
	return grant
}

// creditPoll returns the poll that a peer sends for those of its servers that are in
// cold, or nil if there are none.
func (p *peers) creditPoll(id fleet.HostID, cold map[fleet.ServerID]bool) *backend.CreditPoll {
	poll := &backend.CreditPoll{Poll: p.lastPoll}
	for _, s := range p.allocated[id] {
		if cold[s] {
			poll.Servers = append(poll.Servers, backend.ServerPoll{Server: s})
		}
	}
	if len(poll.Servers) == 0 {
		return nil
	}
	return poll
}

package control_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/control"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/flow"
)

// pair is two entry hosts, a1 and a2, with instantaneous delivery of messages.
type pair map[fleet.HostID]*control.Core

func newPair() pair {
	p := make(pair)
	address := netip.MustParseAddrPort("127.0.0.1:1")
	hosts := []fleet.Host{
		{ID: "a1", DataCentre: "tp1", Incarnation: 1, PeerAddress: address},
		{ID: "a2", DataCentre: "tp1", Incarnation: 1, PeerAddress: address},
	}
	for _, self := range hosts {
		p[self.ID] = control.New(control.Options{Self: self, Seeds: hosts})
	}
	return p
}

func (p pair) step(now time.Time, id fleet.HostID, event control.Event) {
	for _, send := range p[id].Step(now, event).Sends {
		p.step(now, send.To, &control.MessageReceived{From: id, Message: send.Message})
	}
}

// After a pause, others may own the slots that this host owned, so it must not
// decide until it has fetched the split slots again, whichever event comes first.
func TestPauseStopsDecisions(t *testing.T) {
	for _, event := range []control.Event{
		&control.Tick{},
		&control.MessageReceived{From: "a2", Message: new(flow.Leave)},
	} {
		t.Run(string(event.EventKind()), func(t *testing.T) {
			is := is.New(t)
			p, now := newPair(), start
			for id := range p {
				p.step(now, id, &control.RevisionRead{Revised: oneService()})
			}
			for now.Before(start.Add(5 * time.Second)) {
				now = now.Add(control.TickInterval)
				p.step(now, "a1", &control.Tick{})
				p.step(now, "a2", &control.Tick{})
			}
			is.True(p["a1"].Router().Ready())
			now = now.Add(control.StaleAfter)
			out := p["a1"].Step(now, event) // the messages are not delivered yet
			is.True(!p["a1"].Router().Ready())
			p.step(now, "a1", &control.Tick{})
			for _, send := range out.Sends {
				p.step(now, send.To, &control.MessageReceived{From: "a1", Message: send.Message})
			}
			is.True(p["a1"].Router().Ready()) // a2 has responded
		})
	}
}

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

// TestPauseStopsDecisions checks that a host decides about no packet after a pause
// until it has fetched the split slots again, whichever event comes first. Other hosts
// may own the slots that it owned.
func TestPauseStopsDecisions(t *testing.T) {
	for _, event := range []control.Event{
		&control.Tick{},
		&control.MessageReceived{From: "a2", Message: new(flow.Leave)},
	} {
		t.Run(string(event.EventKind()), func(t *testing.T) {
			is := is.New(t)
			hosts, now := newPair(), start
			for id := range hosts {
				hosts.step(now, id, &control.RevisionRead{Published: oneService()})
			}
			for now.Before(start.Add(5 * time.Second)) {
				now = now.Add(control.TickInterval)
				hosts.step(now, "a1", &control.Tick{})
				hosts.step(now, "a2", &control.Tick{})
			}
			is.True(hosts["a1"].Router().Ready())
			now = now.Add(control.StaleAfter)
			out := hosts["a1"].Step(now, event) // the messages are not delivered yet
			is.True(!hosts["a1"].Router().Ready())
			hosts.step(now, "a1", &control.Tick{})
			for _, send := range out.Sends {
				hosts.step(now, send.To, &control.MessageReceived{From: "a1", Message: send.Message})
			}
			is.True(hosts["a1"].Router().Ready()) // a2 has responded
		})
	}
}

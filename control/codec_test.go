package control_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/control"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/request"
)

func TestEventsSurviveTheCodec(t *testing.T) {
	attempt := request.AttemptID{Host: "a1", Incarnation: 1, Number: 7}
	key := request.Key{ID: uuid.Must(uuid.Parse("019b76db-0944-7000-8000-000000000001"))}
	events := []control.Event{
		&control.Tick{},
		&control.RevisionRead{Published: oneService()},
		&control.PlatformAnswered{Revision: 3},
		&control.HostsRead{Hosts: []fleet.Host{{ID: "a1", DataCentre: "tp1", Incarnation: 4}}},
		&control.EvidenceSeen{Evidence: backend.Evidence{Server: "hints-1", Kind: backend.EvidenceShed, At: start}},
		&control.ClaimRequested{Claim: request.ClaimRequest{Key: key, Service: "scores", Deadline: start}},
		&control.ClaimEnded{Attempt: attempt, Result: request.Result{Outcome: request.Answered}},
		&control.ClaimCancelled{Attempt: attempt},
		&control.StopRequested{},
	}
	for _, m := range control.Messages() {
		events = append(events, &control.MessageReceived{From: "a2", Message: m})
	}
	for _, event := range events {
		t.Run(string(event.EventKind()), func(t *testing.T) {
			is := is.New(t)
			data, err := control.EncodeEvent(start.Add(time.Nanosecond), event)
			is.NoErr(err)
			at, decoded, err := control.DecodeEvent(data)
			is.NoErr(err)
			is.True(at.Equal(start.Add(time.Nanosecond)))
			again, err := control.EncodeEvent(at, decoded)
			is.NoErr(err)
			is.Equal(again, data)
		})
	}
}

func TestMalformedEvents(t *testing.T) {
	is := is.New(t)
	for _, data := range [][]byte{nil, {0xff}, []byte("\xa1eeventcnew")} {
		_, _, err := control.DecodeEvent(data)
		is.True(err != nil)
	}
}

func TestOutputIsEncoded(t *testing.T) {
	is := is.New(t)
	core := control.New(control.Options{
		Self:  fleet.Host{ID: "a1", DataCentre: "tp1", Incarnation: 1},
		Seeds: []fleet.Host{{ID: "a2", DataCentre: "tp1", PeerAddress: netip.MustParseAddrPort("127.0.0.2:1")}},
	})
	var out control.Output
	for i := 0; len(out.Sends) == 0 && i < 100; i++ {
		out = core.Step(start.Add(time.Duration(i)*control.TickInterval), &control.Tick{})
	}
	is.True(len(out.Sends) > 0) // the seed is probed
	data, err := control.EncodeOutput(out)
	is.NoErr(err)
	is.True(len(data) > 0)
}

package replay_test

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/control"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/replay"
	"github.com/rattanthread/rattanthread/request"
)

const singleHostTrace = "testdata/alone.jsonl"

func TestTraceIsAsStated(t *testing.T) {
	is := is.New(t)
	trace, err := replay.Load(singleHostTrace)
	is.NoErr(err)
	is.NoErr(replay.Run(trace))
}

// TestFirstDifferenceIsNamed changes one expected outcome at a time and checks
// that Run reports it.
func TestFirstDifferenceIsNamed(t *testing.T) {
	data, err := os.ReadFile(singleHostTrace)
	is.New(t).NoErr(err)
	tests := []struct {
		name, old, changed, want string
	}{
		{"decision", `"server":"hints-2"`, `"server":"hints-9"`, "event packet at 14.6s: decision: want"},
		{"ready", `"ready":false`, `"ready":true`, "event platform_answered at 0s: ready: want true, have false"},
		{"revision", `"revision":2}`, `"revision":9}`, "event revision at 8s: revision: want 9, have 2"},
		{"verdict", `"decision":"replay"`, `"decision":"run"`, "event claim at 26.2s: verdicts: want"},
		{"sends", `"sends":[]`, `"sends":[{"to":"a2","message":"x"}]`, "event platform_answered at 0s: sends: want"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			changed := strings.Replace(string(data), tt.old, tt.changed, 1)
			is.True(changed != string(data))
			trace, err := replay.Read("changed.jsonl", strings.NewReader(changed))
			is.NoErr(err)
			err = replay.Run(trace)
			var mismatch *replay.MismatchError
			is.True(errors.As(err, &mismatch))
			is.True(strings.Contains(err.Error(), tt.want))
			is.True(strings.HasPrefix(err.Error(), "changed.jsonl:"))
		})
	}
}

func TestMalformedTraces(t *testing.T) {
	const header = `{"version":1,"start":"2026-01-01T00:00:00Z","self":{"id":"a1","data_centre":"tp1"}}` + "\n"
	tests := []struct{ name, text, want string }{
		{"empty", "\n// only a comment\n", "t:2: the trace is empty"},
		{"version", `{"version":2}`, "t:1: unsupported version 2, want 1"},
		{"no self", `{"version":1,"start":"2026-01-01T00:00:00Z"}`, "t:1: self: missing id or data_centre"},
		{"no start", `{"version":1,"self":{"id":"a","data_centre":"b"}}`, "t:1: missing start"},
		{"not JSON", header + "tick", "t:2: invalid character"},
		{"two values", header + `{"at":"0s","event":"tick"} {}`, "t:2: more than one JSON value"},
		{"unknown field", header + `{"at":"0s","event":"tick","x":1}`, `t:2: unknown field "x"`},
		{"unknown event", header + "\n" + `{"at":"0s","event":"unknown"}`, `t:3: unknown event "unknown"`},
		{"invalid time", header + `{"at":"soon","event":"tick"}`, `t:2: time: invalid duration "soon"`},
		{"decreasing time", header + `{"at":"1s","event":"tick","repeat":11,"every":"1s"}` + "\n" + `{"at":"10s","event":"tick"}`, "t:3: time 10s is before the end of the previous event"},
		{"repeated stop", header + `{"at":"0s","event":"stop","repeat":2}`, "t:2: only tick events may set repeat or every"},
		{"unknown message", header + `{"at":"0s","event":"message","from":"a2","message":"x"}`, `t:2: unknown message "x"`},
		{"no sender", header + `{"at":"0s","event":"message","message":"membership_ping","body":{}}`, "t:2: event message: missing from"},
		{"unknown message field", header + `{"at":"0s","event":"message","from":"a2","message":"membership_ping","body":{"x":1}}`, "t:2: body: "},
		{"no configuration", header + `{"at":"0s","event":"revision"}`, "t:2: event revision: missing revised"},
		{"invalid key", header + `{"at":"0s","event":"claim","claim":{"key":"x"}}`, "t:2: parse key"},
		{"missing packet", header + `{"at":"0s","event":"packet"}`, "t:2: event packet: missing packet"},
		{"invalid flags", header + `{"at":"0s","event":"packet","packet":{"source":"1.1.1.1:1","destination":"1.1.1.1:1","protocol":"tcp","flags":"X"}}`, `t:2: invalid flags "X"`},
		{"decision on a tick", header + `{"at":"0s","event":"tick","expect":{"decision":{}}}`, "t:2: expect.decision is required for packet events and invalid for others"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := replay.Read("t", strings.NewReader(tt.text))
			var traceErr *replay.TraceError
			is.True(errors.As(err, &traceErr))
			is.True(strings.HasPrefix(err.Error(), tt.want))
		})
	}
}

// TestRecordedEventsReplay records one event of each kind and one of each message
// type, and replays them twice. Both replays must have the same outcomes.
func TestRecordedEventsReplay(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var out bytes.Buffer
	recorder := &replay.Recorder{Out: &out, Header: replay.Header{Self: replay.Host{ID: "a1", DataCentre: "tp1"}}}
	key, err := request.ParseKey("tp1/019b76da-9e44-7000-8000-000000000001")
	is.NoErr(err)
	events := []control.Event{
		&control.Tick{},
		&control.PlatformAnswered{Revision: 3},
		&control.HostsRead{Hosts: []fleet.Host{{ID: "a2", DataCentre: "tp1", Incarnation: 7}}},
		&control.RevisionRead{Published: config.PublishedSet{History: "h1", Revision: 3, Published: start}},
		&control.EvidenceSeen{Evidence: backend.Evidence{Server: "s1", Kind: backend.EvidenceReport, At: start}},
		&control.ClaimRequested{Claim: request.ClaimRequest{Key: key, Deadline: start.Add(time.Minute)}},
		&control.ClaimEnded{Result: request.Result{Outcome: request.Answered, Answer: request.Answer{Body: []byte("x")}}},
		&control.ClaimCancelled{},
		&control.StopRequested{},
	}
	for _, message := range control.Messages() {
		events = append(events, &control.MessageReceived{From: "a2", Message: message})
	}
	for i, event := range events {
		recorder.Record(start.Add(time.Duration(i)*time.Millisecond), event)
	}
	is.NoErr(recorder.Err())
	trace, err := replay.Read("recorded", &out)
	is.NoErr(err)
	is.Equal(len(trace.Events), len(events))
	expected, err := replay.UpdateExpectations(trace)
	is.NoErr(err)
	is.NoErr(replay.Run(expected))

	var written bytes.Buffer
	is.NoErr(replay.Write(&written, expected))
	again, err := replay.Read("written", &written)
	is.NoErr(err)
	is.NoErr(replay.Run(again))
}

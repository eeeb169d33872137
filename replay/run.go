package replay

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/control"
)

// MismatchError describes the first event of a trace whose outcome is not the
// expected one.
type MismatchError struct {
	Name  string
	Event Event
	Field string // the field of Expect that differs
	Want  string
	Have  string
}

// Error describes the event and the mismatch.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("%s:%d: event %s at %s: %s: want %s, have %s",
		e.Name, e.Event.Line, e.Event.Kind, time.Duration(e.Event.At), e.Field, e.Want, e.Have)
}

// Run replays the events of a trace on a new control state. It returns a
// *MismatchError if an outcome is not the expected one.
func Run(t Trace) error {
	r, err := newRunner(t)
	if err != nil {
		return err
	}
	for _, event := range t.Events {
		have, err := r.step(event)
		if err != nil {
			return &TraceError{t.Name, event.Line, err.Error()}
		}
		if mismatch := compare(event.Expect, have); mismatch != nil {
			mismatch.Name, mismatch.Event = t.Name, event
			return mismatch
		}
	}
	return nil
}

// UpdateExpectations returns the trace with the outcomes of a replay as the
// expected ones.
func UpdateExpectations(t Trace) (Trace, error) {
	r, err := newRunner(t)
	if err != nil {
		return t, err
	}
	t.Events = slices.Clone(t.Events)
	for i, event := range t.Events {
		have, err := r.step(event)
		if err != nil {
			return t, &TraceError{t.Name, event.Line, err.Error()}
		}
		t.Events[i].Expect = &have
	}
	return t, nil
}

type runner struct {
	header Header
	core   *control.Core
	now    time.Time
}

func newRunner(t Trace) (*runner, error) {
	flowKey, err := parseHash(t.Header.FlowKey)
	if err != nil {
		return nil, err
	}
	r := &runner{header: t.Header}
	r.core = control.New(control.Options{
		Self:    t.Header.Self.fleetHost(),
		Seeds:   fleetHosts(t.Header.Seeds),
		Random:  rand.New(rand.NewPCG(t.Header.Seed, t.Header.Seed)),
		FlowKey: flowKey,
		Clock:   func() time.Time { return r.now },
	})
	return r, nil
}

// step replays one event and returns its outcome. The outcome of a repeated tick
// includes the messages and verdicts of all repetitions.
func (r *runner) step(event Event) (Expect, error) {
	at := r.header.Start.Add(time.Duration(event.At))
	r.now = at
	if event.Kind == KindPacket {
		return r.decide(at, event.Packet)
	}
	controlEvent, err := event.controlEvent(r.header)
	if err != nil {
		return Expect{}, err
	}
	var total control.Output
	for i := range max(1, event.Repeat) {
		out := r.core.Step(at.Add(time.Duration(i)*time.Duration(event.Every)), controlEvent)
		total.Sends = append(total.Sends, out.Sends...)
		total.Verdicts = append(total.Verdicts, out.Verdicts...)
	}
	return r.outcome(total)
}

func (r *runner) decide(now time.Time, p *Packet) (Expect, error) {
	if r.core.Snapshot() == nil {
		return Expect{}, errors.New("packet event before the first control event")
	}
	input, err := p.flowInput()
	if err != nil {
		return Expect{}, err
	}
	d := r.core.Router().Decide(now, &input)
	return Expect{Decision: &Decision{
		Action: d.Action.String(),
		Reason: d.Reason,
		Server: d.Server,
		Host:   d.Host,
	}}, nil
}

func (r *runner) outcome(out control.Output) (Expect, error) {
	sends := []Send{}
	for _, send := range out.Sends {
		body, err := encode(send.Message)
		if err != nil {
			return Expect{}, err
		}
		sends = append(sends, Send{To: send.To, Message: send.Message.Kind(), Body: body})
	}
	sortSends(sends)
	verdicts := []Verdict{}
	for _, v := range out.Verdicts {
		verdicts = append(verdicts, Verdict{Attempt: v.Attempt.Number, Decision: v.Decision, Reason: v.Reason})
	}
	snapshot := r.core.Snapshot()
	return Expect{
		Sends:    &sends,
		Verdicts: &verdicts,
		Ready:    &snapshot.Ready,
		Revision: snapshot.Published.Revision,
	}, nil
}

func sortSends(sends []Send) {
	slices.SortStableFunc(sends, func(a, b Send) int {
		return cmp.Or(cmp.Compare(a.To, b.To), cmp.Compare(a.Message, b.Message), bytes.Compare(a.Body, b.Body))
	})
}

// compare returns the first mismatch between the expected and the actual outcome,
// or nil.
func compare(want *Expect, have Expect) *MismatchError {
	if want == nil {
		return nil
	}
	if want.Sends != nil {
		if d := compareSends(*want.Sends, *have.Sends); d != nil {
			return d
		}
	}
	switch {
	case want.Verdicts != nil && !slices.Equal(*want.Verdicts, *have.Verdicts):
		return newMismatch("verdicts", *want.Verdicts, *have.Verdicts)
	case want.Decision != nil && !want.Decision.matches(*have.Decision):
		return newMismatch("decision", *want.Decision, *have.Decision)
	case want.Ready != nil && *want.Ready != *have.Ready:
		return newMismatch("ready", *want.Ready, *have.Ready)
	case want.Revision != 0 && want.Revision != have.Revision:
		return newMismatch("revision", want.Revision, have.Revision)
	}
	return nil
}

// matches reports whether every non-empty field of d equals that of have.
func (d Decision) matches(have Decision) bool {
	return (d.Action == "" || d.Action == have.Action) &&
		(d.Reason == "" || d.Reason == have.Reason) &&
		(d.Server == "" || d.Server == have.Server) &&
		(d.Host == "" || d.Host == have.Host)
}

func compareSends(want, have []Send) *MismatchError {
	want = slices.Clone(want)
	for i := range want {
		want[i].Body = canonicalJSON(want[i].Body)
	}
	sortSends(want)
	have = slices.Clone(have)
	if len(want) == len(have) {
		for i := range want {
			if len(want[i].Body) == 0 {
				have[i].Body = nil
			}
		}
	}
	same := slices.EqualFunc(want, have, func(a, b Send) bool {
		return a.To == b.To && a.Message == b.Message && bytes.Equal(a.Body, b.Body)
	})
	if same {
		return nil
	}
	return newMismatch("sends", want, have)
}

// canonicalJSON returns the body with sorted fields and without spaces.
func canonicalJSON(body json.RawMessage) json.RawMessage {
	var value any
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	if len(body) == 0 || decoder.Decode(&value) != nil {
		return body
	}
	return must(json.Marshal(value))
}

func newMismatch(field string, want, have any) *MismatchError {
	return &MismatchError{Field: field, Want: jsonText(want), Have: jsonText(have)}
}

func jsonText(value any) string {
	return string(must(json.Marshal(value)))
}

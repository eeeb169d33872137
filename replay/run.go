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

// Difference is the first event of a trace that led to something else than
// stated.
type Difference struct {
	Name  string
	Event Event
	What  string // the part of the outcome that differs
	Want  string
	Have  string
}

// Error names the event and what differs.
func (d *Difference) Error() string {
	return fmt.Sprintf("%s:%d: event %s at %s: %s: want %s, have %s",
		d.Name, d.Event.Line, d.Event.Kind, time.Duration(d.Event.At), d.What, d.Want, d.Have)
}

// Run gives the events of a trace to a new control state. The error is a
// *Difference if an outcome is not as stated.
func Run(t Trace) error {
	r, err := newRunner(t)
	if err != nil {
		return err
	}
	for _, event := range t.Events {
		have, err := r.step(event)
		if err != nil {
			return &Problem{t.Name, event.Line, err.Error()}
		}
		if difference := compare(event.Expect, have); difference != nil {
			difference.Name, difference.Event = t.Name, event
			return difference
		}
	}
	return nil
}

// State returns the trace with the outcomes that the control state has now.
func State(t Trace) (Trace, error) {
	r, err := newRunner(t)
	if err != nil {
		return t, err
	}
	t.Events = slices.Clone(t.Events)
	for i, event := range t.Events {
		have, err := r.step(event)
		if err != nil {
			return t, &Problem{t.Name, event.Line, err.Error()}
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
	flowKey, err := hash(t.Header.FlowKey)
	if err != nil {
		return nil, err
	}
	r := &runner{header: t.Header}
	r.core = control.New(control.Options{
		Self:    t.Header.Self.host(),
		Seeds:   hostsOf(t.Header.Seeds),
		Random:  rand.New(rand.NewPCG(t.Header.Seed, t.Header.Seed)),
		FlowKey: flowKey,
		Clock:   func() time.Time { return r.now },
	})
	return r, nil
}

// step gives one event to the control state and returns what it led to. Of a
// repeated tick it returns what all led to.
func (r *runner) step(event Event) (Expect, error) {
	at := r.header.Start.Add(time.Duration(event.At))
	r.now = at
	if event.Kind == KindPacket {
		return r.decide(at, event.Packet)
	}
	taken, err := event.control(r.header)
	if err != nil {
		return Expect{}, err
	}
	var total control.Output
	for i := range max(1, event.Repeat) {
		out := r.core.Step(at.Add(time.Duration(i)*time.Duration(event.Every)), taken)
		total.Sends = append(total.Sends, out.Sends...)
		total.Verdicts = append(total.Verdicts, out.Verdicts...)
	}
	return r.outcome(total)
}

func (r *runner) decide(now time.Time, p *Packet) (Expect, error) {
	if r.core.Snapshot() == nil {
		return Expect{}, errors.New("a packet before the first event of the control state")
	}
	input, err := p.input()
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
		Revision: snapshot.Revised.Revision,
	}, nil
}

func sortSends(sends []Send) {
	slices.SortStableFunc(sends, func(a, b Send) int {
		return cmp.Or(cmp.Compare(a.To, b.To), cmp.Compare(a.Message, b.Message), bytes.Compare(a.Body, b.Body))
	})
}

// compare returns the first stated part of an outcome that is not so.
func compare(want *Expect, have Expect) *Difference {
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
		return difference("verdicts", *want.Verdicts, *have.Verdicts)
	case want.Decision != nil && !want.Decision.covers(*have.Decision):
		return difference("decision", *want.Decision, *have.Decision)
	case want.Ready != nil && *want.Ready != *have.Ready:
		return difference("ready", *want.Ready, *have.Ready)
	case want.Revision != 0 && want.Revision != have.Revision:
		return difference("revision", want.Revision, have.Revision)
	}
	return nil
}

// covers reports whether every stated part of d is so in have.
func (d Decision) covers(have Decision) bool {
	return (d.Action == "" || d.Action == have.Action) &&
		(d.Reason == "" || d.Reason == have.Reason) &&
		(d.Server == "" || d.Server == have.Server) &&
		(d.Host == "" || d.Host == have.Host)
}

func compareSends(want, have []Send) *Difference {
	want = slices.Clone(want)
	for i := range want {
		want[i].Body = canonical(want[i].Body)
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
	return difference("sends", want, have)
}

// canonical returns the body with sorted fields and without spaces.
func canonical(body json.RawMessage) json.RawMessage {
	var value any
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	if len(body) == 0 || decoder.Decode(&value) != nil {
		return body
	}
	return must(json.Marshal(value))
}

func difference(what string, want, have any) *Difference {
	return &Difference{What: what, Want: show(want), Have: show(have)}
}

func show(value any) string {
	return string(must(json.Marshal(value)))
}

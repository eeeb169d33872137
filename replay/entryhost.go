package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/entry"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/forwarding"
	"github.com/rattanthread/rattanthread/placement"
)

// EntryEvent is a line of the trace of an entry host on the users' platform. A line
// with a data centre is the start of the host, and tells of nothing else.
type EntryEvent struct {
	At         Duration           `json:"at"`
	DataCentre fleet.DataCentreID `json:"data_centre,omitempty"`
	Host       fleet.HostID       `json:"host,omitempty"`
	ColdOver   float64            `json:"cold_over,omitempty"`
	ColdSlack  float64            `json:"cold_slack,omitempty"`
	// Answer is a catalogue.Update of the store, asked at Asked.
	Answer    json.RawMessage  `json:"answer,omitempty"`
	Asked     Duration         `json:"asked,omitempty"`
	Ticked    bool             `json:"ticked,omitempty"`
	Published bool             `json:"published,omitempty"`
	Packet    *EntryPacket     `json:"packet,omitempty"`
	Probed    catalogue.Cookie `json:"probed,omitempty"`
	// Found is what a probe that began at Asked has found.
	Found string           `json:"found,omitempty"`
	Ended catalogue.Cookie `json:"ended,omitempty"`
	// Outcome is what the host decided.
	Outcome string `json:"outcome,omitempty"`
}

// EntryPacket is a packet in a trace.
type EntryPacket struct {
	Source      netip.AddrPort   `json:"source"`
	Destination netip.AddrPort   `json:"destination"`
	Kind        forwarding.Kind  `json:"kind"`
	Cookie      catalogue.Cookie `json:"cookie,omitempty"`
	Seq         uint32           `json:"seq,omitempty"`
	Ack         uint32           `json:"ack,omitempty"`
	Length      int              `json:"length,omitempty"`
	// Confirmed is when the configuration was last confirmed.
	Confirmed Duration `json:"confirmed"`
}

// EntryRecorder writes the trace of an entry host. Out must be set.
type EntryRecorder struct {
	Out io.Writer

	mu    sync.Mutex
	start time.Time
	err   error
}

// Record writes one event. After an error it writes nothing more.
func (r *EntryRecorder) Record(e entry.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return
	}
	if r.start.IsZero() {
		r.start = e.At
	}
	line, err := r.event(e)
	if err == nil {
		err = r.line(line)
	}
	r.err = err
}

// Err returns the first error.
func (r *EntryRecorder) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

func (r *EntryRecorder) line(e EntryEvent) error {
	data, err := json.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "record")
	}
	_, err = r.Out.Write(append(data, '\n'))
	return err
}

func (r *EntryRecorder) event(e entry.Event) (EntryEvent, error) {
	line := EntryEvent{At: r.since(e.At), Ticked: e.Ticked, Published: e.Published, Ended: e.Ended}
	switch {
	case e.Settings != nil:
		line.DataCentre, line.Host = e.Settings.DataCentre, e.Settings.Host
		line.ColdOver, line.ColdSlack = e.Settings.Bounds.ColdOver, e.Settings.Bounds.ColdSlack
	case e.Update != nil:
		body, err := encode(e.Update)
		if err != nil {
			return line, err
		}
		line.Answer, line.Asked = body, r.since(e.Update.AsOf)
	case e.Packet != nil:
		p := e.Packet.Packet
		line.Packet = &EntryPacket{
			Source: p.Source, Destination: p.Destination, Kind: p.Kind, Cookie: p.Cookie,
			Seq: p.Seq, Ack: p.Ack, Length: p.Length, Confirmed: r.since(e.Packet.Confirmed),
		}
		line.Outcome = outcome(e.Packet.Decision)
	case e.Probe != nil:
		line.Probed, line.Found, line.Asked = e.Probe.Server, e.Probe.Found.String(), r.since(e.Probe.Began)
		line.Outcome = flowsOutcome(e.Probe.Flows)
	}
	return line, nil
}

func (r *EntryRecorder) since(at time.Time) Duration { return Duration(at.Sub(r.start)) }

// outcome describes a decision.
func outcome(d forwarding.Decision) string {
	text := d.Action.String() + " " + d.Reason.String()
	if d.Server != nil {
		text += " " + string(d.Server.ID)
	}
	if d.Probe != nil {
		text += " probe " + string(d.Probe.ID)
	}
	return text
}

func flowsOutcome(flows int) string { return fmt.Sprintf("%d flows", flows) }

// RunEntry gives the events of a trace to new decisions and compares what they
// decide with what the trace states. It returns how many events there were, and
// an error that names the first that differs.
func RunEntry(name string, in io.Reader) (int, error) {
	run := entryRun{start: time.Unix(0, 0)}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxEntryLine)
	line := 0
	for scanner.Scan() {
		line++
		var e EntryEvent
		if err := strictly(scanner.Bytes(), &e); err != nil {
			return line, errors.Wrapf(err, "%s:%d", name, line)
		}
		got, err := run.step(e)
		if err != nil {
			return line, errors.Wrapf(err, "%s:%d", name, line)
		}
		if got != e.Outcome {
			return line, errors.Errorf("%s:%d: at %s: stated %q, decided %q", name, line, time.Duration(e.At), e.Outcome, got)
		}
	}
	if err := scanner.Err(); err != nil {
		return line, errors.Wrapf(err, "read %s", name)
	}
	return line, nil
}

// maxEntryLine bounds a line of a trace, in bytes.
const maxEntryLine = 4 << 20

// entryRun is the state of a replay.
type entryRun struct {
	start     time.Time
	tracker   catalogue.Tracker
	known     *catalogue.Catalogue
	forwarder forwarding.Forwarder
}

func (r *entryRun) at(d Duration) time.Time { return r.start.Add(time.Duration(d)) }

// step carries out an event and returns what was decided.
func (r *entryRun) step(e EntryEvent) (string, error) {
	switch {
	case e.DataCentre != "":
		r.tracker, r.known, r.forwarder = catalogue.Tracker{}, nil, forwarding.Forwarder{}
		r.forwarder.Chooser = placement.Chooser{DataCentre: e.DataCentre, Warmup: placement.WarmupLimiter{
			Self: e.Host, Limit: placement.WarmupLimit{Factor: e.ColdOver, Slack: e.ColdSlack},
		}}
	case e.Answer != nil:
		var a catalogue.Update
		if err := decode(e.Answer, &a); err != nil {
			return "", err
		}
		a.AsOf = r.at(e.Asked)
		r.tracker.Apply(r.at(e.At), a)
	case e.Ticked:
		r.tracker.Tick(r.at(e.At))
	case e.Published:
		r.known = r.tracker.Current()
	case e.Packet != nil:
		p := e.Packet
		return outcome(r.forwarder.Decide(r.at(e.At), r.known, r.at(p.Confirmed), forwarding.Packet{
			Source: p.Source, Destination: p.Destination, Kind: p.Kind, Cookie: p.Cookie,
			Seq: p.Seq, Ack: p.Ack, Length: p.Length,
		})), nil
	case e.Probed != 0:
		found, ok := placement.ParseEvidence(e.Found)
		if !ok {
			return "", errors.Errorf("found: unknown evidence %q", e.Found)
		}
		flows, _ := r.forwarder.RecordProbe(r.at(e.At), r.known, forwarding.Probe{Server: e.Probed, Began: r.at(e.Asked), Found: found})
		return flowsOutcome(len(flows)), nil
	case e.Ended != 0:
		r.forwarder.RemoveServer(e.Ended)
	}
	return "", nil
}

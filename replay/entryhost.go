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
	"github.com/rattanthread/rattanthread/load"
	"github.com/rattanthread/rattanthread/placement"
)

// EntryEvent is a line of the trace of an entry host on the users' platform. A line
// with a data centre is the start of the host and describes no other event.
type EntryEvent struct {
	At           Duration           `json:"at"`
	DataCentre   fleet.DataCentreID `json:"data_centre,omitempty"`
	Host         fleet.HostID       `json:"host,omitempty"`
	WarmupFactor float64            `json:"cold_over,omitempty"`
	WarmupSlack  float64            `json:"cold_slack,omitempty"`
	// Update is a catalogue.Update whose AsOf is RequestedAt, or zero if it is Unconfirmed.
	Update       json.RawMessage  `json:"answer,omitempty"`
	RequestedAt  Duration         `json:"asked,omitempty"`
	Unconfirmed  bool             `json:"unconfirmed,omitempty"`
	Ticked       bool             `json:"ticked,omitempty"`
	Published    bool             `json:"published,omitempty"`
	Packet       *EntryPacket     `json:"packet,omitempty"`
	ProbedServer catalogue.Cookie `json:"probed,omitempty"`
	// ProbeResult is the result of a probe that began at RequestedAt.
	ProbeResult string `json:"found,omitempty"`
	// RemovedServer is a removed server. Its removal was last confirmed at RequestedAt, or at At if that is zero.
	RemovedServer catalogue.Cookie `json:"ended,omitempty"`
	// Learning means that the host that starts learns the load of servers.
	Learning bool       `json:"learning,omitempty"`
	Load     *EntryLoad `json:"load,omitempty"`
	// Outcome is the decision on Packet, or the number of flows that were reset
	// because of the probe.
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
	// Confirmed is the time at which the configuration was last confirmed.
	Confirmed Duration `json:"confirmed"`
	// Complete is absent in traces of earlier versions: no other routes existed when the configuration was
	// confirmed, and no other servers when the packet was received.
	Complete *EntryComplete `json:"complete,omitempty"`
}

// EntryComplete holds the times at which no other routes and servers were known to exist; see [forwarding.Confirmation].
type EntryComplete struct {
	Routes  Duration `json:"routes"`
	Servers Duration `json:"servers"`
}

// EntryLoad is a use of the load estimates; see [entry.LoadEvent].
type EntryLoad struct {
	Peer fleet.HostID `json:"peer,omitempty"`
	// Report is a load.Report.
	Report json.RawMessage `json:"report,omitempty"`
	Ended  bool            `json:"ended,omitempty"`
	Sent   bool            `json:"sent,omitempty"`
	// Loads is a load.DataCentreLoads of DataCentre.
	DataCentre fleet.DataCentreID `json:"data_centre,omitempty"`
	Loads      json.RawMessage    `json:"loads,omitempty"`
	Short      bool               `json:"short,omitempty"`
}

// EntryRecorder writes the trace of an entry host. Out must be set.
type EntryRecorder struct {
	Out io.Writer

	mu    sync.Mutex
	start time.Time
	err   error
}

// Record writes one event. After the first error it does nothing.
func (r *EntryRecorder) Record(e entry.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return
	}
	if r.start.IsZero() {
		r.start = e.At
	}
	line, err := r.newEvent(e)
	if err == nil {
		err = r.writeLine(line)
	}
	r.err = err
}

// Err returns the first error that Record encountered.
func (r *EntryRecorder) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

func (r *EntryRecorder) writeLine(e EntryEvent) error {
	data, err := json.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	_, err = r.Out.Write(append(data, '\n'))
	return err
}

func (r *EntryRecorder) newEvent(e entry.Event) (EntryEvent, error) {
	line := EntryEvent{At: r.since(e.At), Ticked: e.Ticked, Published: e.Published, RemovedServer: e.RemovedServer}
	switch {
	case e.Settings != nil:
		line.DataCentre, line.Host = e.Settings.DataCentre, e.Settings.Host
		line.WarmupFactor, line.WarmupSlack = e.Settings.Bounds.ColdOver, e.Settings.Bounds.ColdSlack
		line.Learning = e.Settings.Load.Learning != entry.LearningOff
	case e.Load != nil:
		load, err := newEntryLoad(e.Load)
		if err != nil {
			return line, err
		}
		line.Load = load
	case e.Update != nil:
		body, err := encode(e.Update)
		if err != nil {
			return line, err
		}
		line.Update, line.Unconfirmed = body, e.Update.AsOf.IsZero()
		if !line.Unconfirmed {
			line.RequestedAt = r.since(e.Update.AsOf)
		}
	case e.Packet != nil:
		p, confirmed := e.Packet.Packet, e.Packet.Confirmed
		line.Packet = &EntryPacket{
			Source: p.Source, Destination: p.Destination, Kind: p.Kind, Cookie: p.Cookie,
			Seq: p.Seq, Ack: p.Ack, Length: p.Length, Confirmed: r.since(confirmed.Configuration),
			Complete: &EntryComplete{Routes: r.since(confirmed.Routes), Servers: r.since(confirmed.Servers)},
		}
		line.Outcome = formatDecision(e.Packet.Decision)
	case e.Probe != nil:
		line.ProbedServer, line.ProbeResult, line.RequestedAt = e.Probe.Server, e.Probe.Evidence.String(), r.since(e.Probe.Began)
		line.Outcome = formatFlows(e.Probe.Flows)
	case e.RemovedServer != 0:
		line.RequestedAt = r.since(e.Confirmed)
	}
	return line, nil
}

func newEntryLoad(e *entry.LoadEvent) (*EntryLoad, error) {
	line := &EntryLoad{Peer: e.Peer, Ended: e.Ended, Sent: e.Sent, DataCentre: e.DataCentre, Short: e.Short}
	var err error
	switch {
	case e.Report != nil:
		line.Report, err = encode(e.Report)
	case e.Loads != nil:
		line.Loads, err = encode(e.Loads)
	}
	return line, err
}

func (r *EntryRecorder) since(at time.Time) Duration { return Duration(at.Sub(r.start)) }

// formatDecision returns the outcome of a packet as text.
func formatDecision(d forwarding.Decision) string {
	text := d.Action.String() + " " + d.Reason.String()
	if d.Server != nil {
		text += " " + string(d.Server.ID)
	}
	if d.Probe != nil {
		text += " probe " + string(d.Probe.ID)
	}
	return text
}

func formatFlows(flows int) string { return fmt.Sprintf("%d flows", flows) }

// RunEntry replays the trace of an entry host and compares the outcomes with the
// expected ones in the trace. It returns the number of events read, and an error
// that describes the first mismatch.
func RunEntry(name string, in io.Reader) (int, error) {
	run := entryRun{start: time.Unix(0, 0)}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxEntryLineBytes)
	line := 0
	for scanner.Scan() {
		line++
		var e EntryEvent
		if err := unmarshalStrict(scanner.Bytes(), &e); err != nil {
			return line, errors.Wrapf(err, "%s:%d", name, line)
		}
		outcome, err := run.step(e)
		if err != nil {
			return line, errors.Wrapf(err, "%s:%d", name, line)
		}
		if outcome != e.Outcome {
			return line, errors.Errorf("%s:%d: at %s: want %q, got %q", name, line, time.Duration(e.At), e.Outcome, outcome)
		}
	}
	if err := scanner.Err(); err != nil {
		return line, errors.Wrapf(err, "read %s", name)
	}
	return line, nil
}

// maxEntryLineBytes is the maximum length of a line in the trace of an entry host.
const maxEntryLineBytes = 4 << 20

// entryRun is the state of the replay of an entry host.
type entryRun struct {
	start     time.Time
	tracker   catalogue.Tracker
	current   *catalogue.Catalogue
	forwarder forwarding.Forwarder
}

func (r *entryRun) at(d Duration) time.Time { return r.start.Add(time.Duration(d)) }

// step replays an event and returns its outcome.
func (r *entryRun) step(e EntryEvent) (string, error) {
	switch {
	case e.DataCentre != "":
		r.tracker, r.current, r.forwarder = catalogue.Tracker{}, nil, forwarding.Forwarder{}
		r.forwarder.Chooser = placement.Chooser{DataCentre: e.DataCentre, Warmup: placement.WarmupLimiter{
			Self: e.Host, Limit: placement.WarmupLimit{Factor: e.WarmupFactor, Slack: e.WarmupSlack},
		}}
		r.forwarder.UseLoad(e.Learning)
	case e.Load != nil:
		return "", r.useLoad(r.at(e.At), e.Load)
	case e.Update != nil:
		var update catalogue.Update
		if err := decode(e.Update, &update); err != nil {
			return "", err
		}
		if !e.Unconfirmed {
			update.AsOf = r.at(e.RequestedAt)
		}
		r.tracker.Apply(r.at(e.At), update)
	case e.Ticked:
		r.tracker.Tick(r.at(e.At))
	case e.Published:
		previous := r.current
		r.current = r.tracker.Current()
		r.forwarder.CatalogueChanged(previous, r.current)
	case e.Packet != nil:
		p, complete := e.Packet, EntryComplete{Routes: e.Packet.Confirmed, Servers: e.At}
		if p.Complete != nil {
			complete = *p.Complete
		}
		confirmed := forwarding.Confirmation{Configuration: r.at(p.Confirmed), Routes: r.at(complete.Routes), Servers: r.at(complete.Servers)}
		return formatDecision(r.forwarder.Decide(r.at(e.At), r.current, confirmed, forwarding.Packet{
			Source: p.Source, Destination: p.Destination, Kind: p.Kind, Cookie: p.Cookie,
			Seq: p.Seq, Ack: p.Ack, Length: p.Length,
		})), nil
	case e.ProbedServer != 0:
		found, ok := placement.ParseEvidence(e.ProbeResult)
		if !ok {
			return "", errors.Errorf("found: unknown probe result %q", e.ProbeResult)
		}
		flows, _ := r.forwarder.RecordProbe(r.at(e.At), r.current, forwarding.Probe{Server: e.ProbedServer, Began: r.at(e.RequestedAt), Evidence: found})
		return formatFlows(len(flows)), nil
	case e.RemovedServer != 0:
		confirmed := e.RequestedAt
		if confirmed == 0 {
			confirmed = e.At
		}
		r.forwarder.RemoveServer(r.at(e.At), e.RemovedServer, r.at(confirmed))
	}
	return "", nil
}

// useLoad replays a use of the load estimates.
func (r *entryRun) useLoad(now time.Time, e *EntryLoad) error {
	tracker := &r.forwarder.Chooser.Load
	switch {
	case e.Report != nil:
		var report load.Report
		if err := decode(e.Report, &report); err != nil {
			return err
		}
		_ = tracker.Receive(now, e.Peer, report) // the host rejected an invalid one too
	case e.Loads != nil:
		var loads load.DataCentreLoads
		if err := decode(e.Loads, &loads); err != nil {
			return err
		}
		_ = tracker.ReceiveElsewhere(now, e.DataCentre, loads) // the host rejected invalid ones too
	case e.Short:
		r.forwarder.DataCentreLoads(now, r.current)
	case e.Ended:
		tracker.Disconnect(e.Peer)
	case e.Sent:
		tracker.ReportFor(now, e.Peer)
	default:
		for _, service := range r.current.Services() {
			tracker.Utilisation(now, r.current.Pool(service).All)
		}
	}
	return nil
}

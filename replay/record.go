package replay

import (
	"encoding/hex"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/control"
	"github.com/rattanthread/rattanthread/fleet"
)

// Recorder writes the events of one host as a trace without expected outcomes,
// which UpdateExpectations adds. Its Record method can be assigned to the Record
// field of host.Host. It is safe for concurrent use.
type Recorder struct {
	Header Header
	Out    io.Writer
	// MaxEvents is the maximum number of recorded events; zero means no limit.
	MaxEvents int

	mu     sync.Mutex
	events int
	err    error
}

// Record writes one event. After the first error it does nothing.
func (r *Recorder) Record(now time.Time, event control.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil || (r.MaxEvents > 0 && r.events >= r.MaxEvents) {
		return
	}
	if r.events == 0 {
		r.err = r.writeHeader(now)
	}
	r.events++
	if r.err == nil {
		r.err = r.writeEvent(now, event)
	}
}

// Err returns the first error that Record encountered.
func (r *Recorder) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

func (r *Recorder) writeHeader(now time.Time) error {
	r.Header.Version = FormatVersion
	if r.Header.Start.IsZero() {
		r.Header.Start = now
	}
	return r.writeLine(r.Header)
}

func (r *Recorder) writeLine(value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode trace")
	}
	if _, err := r.Out.Write(append(data, '\n')); err != nil {
		return errors.Wrap(err, "write trace")
	}
	return nil
}

func (r *Recorder) writeEvent(now time.Time, event control.Event) error {
	line, err := r.newEvent(now, event)
	if err != nil {
		return err
	}
	return r.writeLine(line)
}

func (r *Recorder) newEvent(now time.Time, event control.Event) (Event, error) {
	line := Event{At: Duration(now.Sub(r.Header.Start)), Kind: event.EventKind()}
	var err error
	switch e := event.(type) {
	case *control.MessageReceived:
		line.From, line.Message = e.From, e.Message.Kind()
		line.Body, err = encode(e.Message)
	case *control.RevisionRead:
		line.Revised, err = encode(e.Published)
	case *control.PlatformAnswered:
		line.Revision = e.Revision
	case *control.HostsRead:
		line.Hosts = traceHosts(e.Hosts)
	case *control.EvidenceSeen:
		line.Evidence = &Evidence{
			Server:     e.Evidence.Server,
			Kind:       e.Evidence.Kind,
			Latency:    Duration(e.Evidence.Latency),
			Healthy:    e.Evidence.Healthy,
			Instance:   e.Evidence.Instance,
			ReportedAt: Duration(e.Evidence.At.Sub(r.Header.Start)),
		}
	case *control.ClaimRequested:
		line.Claim = &Claim{
			Key:      e.Claim.Key.String(),
			Service:  e.Claim.Service,
			Body:     hex.EncodeToString(e.Claim.Body[:]),
			Deadline: Duration(e.Claim.Deadline.Sub(now)),
		}
	case *control.ClaimEnded:
		line.Attempt = e.Attempt.Number
		line.Result, err = encode(e.Result)
	case *control.ClaimCancelled:
		line.Attempt = e.Attempt.Number
	}
	return line, err
}

func traceHosts(hosts []fleet.Host) []Host {
	var all []Host
	for _, h := range hosts {
		all = append(all, Host{
			ID:          h.ID,
			DataCentre:  h.DataCentre,
			Incarnation: h.Incarnation,
			Peer:        h.PeerAddress,
			Handoff:     h.HandoffAddress,
		})
	}
	return all
}

// Write writes a trace with its expected outcomes.
func Write(out io.Writer, t Trace) error {
	r := &Recorder{Out: out}
	if err := r.writeLine(t.Header); err != nil {
		return err
	}
	for _, event := range t.Events {
		if err := r.writeLine(event); err != nil {
			return err
		}
	}
	return nil
}

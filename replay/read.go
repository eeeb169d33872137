package replay

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/control"
	"github.com/rattanthread/rattanthread/fleet"
)

// Trace is a parsed trace.
type Trace struct {
	// Name is the name of the file, used in error messages.
	Name   string
	Header Header
	Events []Event
}

// TraceError is an error in a trace file.
type TraceError struct {
	Name   string
	Line   int
	Reason string
}

// Error returns the location and the reason of the error.
func (e *TraceError) Error() string {
	return fmt.Sprintf("%s:%d: %s", e.Name, e.Line, e.Reason)
}

const (
	maxLineBytes = 4 << 20
	maxRepeat    = 1_000_000
	hashBytes    = 16
)

// Load parses a trace file.
func Load(path string) (Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return Trace{}, errors.Wrap(err, "load trace")
	}
	defer func() { _ = file.Close() }()
	return Read(path, file)
}

// Read parses a trace; error messages refer to it by name. Errors in the trace
// are of type *TraceError.
func Read(name string, in io.Reader) (Trace, error) {
	t := Trace{Name: name}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	line := 0
	hasHeader := false
	for scanner.Scan() {
		line++
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 || bytes.HasPrefix(text, []byte("//")) {
			continue
		}
		parse := t.parseEvent
		if !hasHeader {
			parse, hasHeader = t.parseHeader, true
		}
		if err := parse(text, line); err != nil {
			return t, &TraceError{name, line, err.Error()}
		}
	}
	if err := scanner.Err(); err != nil {
		return t, &TraceError{name, line + 1, err.Error()}
	}
	if !hasHeader {
		return t, &TraceError{name, line, "the trace is empty"}
	}
	return t, nil
}

func (t *Trace) parseHeader(text []byte, _ int) error {
	if err := unmarshalStrict(text, &t.Header); err != nil {
		return err
	}
	switch h := t.Header; {
	case h.Version != FormatVersion:
		return errors.Errorf("unsupported version %d, want %d", h.Version, FormatVersion)
	case h.Self.ID == "" || h.Self.DataCentre == "":
		return errors.New("self: missing id or data_centre")
	case h.Start.IsZero():
		return errors.New("missing start")
	}
	_, err := parseHash(t.Header.FlowKey)
	return err
}

func (t *Trace) parseEvent(text []byte, line int) error {
	event := Event{Line: line}
	if err := unmarshalStrict(text, &event); err != nil {
		return err
	}
	if n := len(t.Events); n > 0 && event.At < t.Events[n-1].end() {
		return errors.Errorf("time %s is before the end of the previous event", time.Duration(event.At))
	}
	if err := event.check(); err != nil {
		return err
	}
	t.Events = append(t.Events, event)
	return nil
}

// end returns the time of the event, or of its last repetition.
func (e *Event) end() Duration {
	return e.At + Duration(max(0, e.Repeat-1))*e.Every
}

// check returns an error if a field is missing or invalid.
func (e *Event) check() error {
	if e.Kind != control.KindTick && (e.Repeat != 0 || e.Every != 0) {
		return errors.New("only tick events may set repeat or every")
	}
	if e.Repeat < 0 || e.Repeat > maxRepeat || e.Every < 0 {
		return errors.Errorf("repeat must be from 0 to %d, and every must not be negative", maxRepeat)
	}
	if e.Expect != nil && (e.Expect.Decision != nil) != (e.Kind == KindPacket) {
		return errors.New("expect.decision is required for packet events and invalid for others")
	}
	if e.Kind == KindPacket {
		_, err := e.Packet.flowInput()
		return err
	}
	_, err := e.controlEvent(Header{Start: time.Unix(0, 0)})
	return err
}

// unmarshalStrict decodes a line that holds one JSON value. Unknown fields are
// errors.
func unmarshalStrict(text []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return errors.New(strings.TrimPrefix(err.Error(), "json: "))
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one JSON value on the line")
	}
	return nil
}

// parseHash decodes 16 bytes of hexadecimal; "" means all zeros.
func parseHash(text string) ([hashBytes]byte, error) {
	var h [hashBytes]byte
	if text == "" {
		return h, nil
	}
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != hashBytes {
		return h, errors.Errorf("invalid hash %q: want %d hexadecimal digits", text, 2*hashBytes)
	}
	copy(h[:], decoded)
	return h, nil
}

func (h Host) fleetHost() fleet.Host {
	return fleet.Host{
		ID:             h.ID,
		DataCentre:     h.DataCentre,
		Incarnation:    h.Incarnation,
		PeerAddress:    h.Peer,
		HandoffAddress: h.Handoff,
	}
}

func fleetHosts(hosts []Host) []fleet.Host {
	var all []fleet.Host
	for _, h := range hosts {
		all = append(all, h.fleetHost())
	}
	return all
}

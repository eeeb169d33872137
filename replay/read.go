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

// Trace is a trace that was read.
type Trace struct {
	// Name is the file, for messages.
	Name   string
	Header Header
	Events []Event
}

// Problem is a fault of a trace file.
type Problem struct {
	Name   string
	Line   int
	Reason string
}

// Error tells where the fault is and what it is.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s", p.Name, p.Line, p.Reason)
}

const (
	maxLineBytes = 4 << 20
	maxRepeat    = 1_000_000
	hashBytes    = 16
)

// Load reads a trace file.
func Load(path string) (Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return Trace{}, errors.Wrap(err, "load trace")
	}
	defer func() { _ = file.Close() }()
	return Read(path, file)
}

// Read reads a trace; name stands for it in messages. An error in the trace is
// a *Problem.
func Read(name string, in io.Reader) (Trace, error) {
	t := Trace{Name: name}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	line := 0
	headed := false
	for scanner.Scan() {
		line++
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 || bytes.HasPrefix(text, []byte("//")) {
			continue
		}
		read := t.readEvent
		if !headed {
			read, headed = t.readHeader, true
		}
		if err := read(text, line); err != nil {
			return t, &Problem{name, line, err.Error()}
		}
	}
	if err := scanner.Err(); err != nil {
		return t, &Problem{name, line + 1, err.Error()}
	}
	if !headed {
		return t, &Problem{name, line, "the trace is empty"}
	}
	return t, nil
}

func (t *Trace) readHeader(text []byte, _ int) error {
	if err := strictly(text, &t.Header); err != nil {
		return err
	}
	switch h := t.Header; {
	case h.Version != FormatVersion:
		return errors.Errorf("version %d: this program reads version %d", h.Version, FormatVersion)
	case h.Self.ID == "" || h.Self.DataCentre == "":
		return errors.New("self needs id and data_centre")
	case h.Start.IsZero():
		return errors.New("start is missing")
	}
	_, err := hash(t.Header.FlowKey)
	return err
}

func (t *Trace) readEvent(text []byte, line int) error {
	event := Event{Line: line}
	if err := strictly(text, &event); err != nil {
		return err
	}
	if n := len(t.Events); n > 0 && event.At < t.Events[n-1].end() {
		return errors.Errorf("at %s is before the event above", time.Duration(event.At))
	}
	if err := event.check(); err != nil {
		return err
	}
	t.Events = append(t.Events, event)
	return nil
}

// end is the time of the event, or of the last of its repetitions.
func (e *Event) end() Duration {
	return e.At + Duration(max(0, e.Repeat-1))*e.Every
}

// check finds a missing or unreadable field.
func (e *Event) check() error {
	if e.Kind != control.KindTick && (e.Repeat != 0 || e.Every != 0) {
		return errors.New("only a tick can repeat")
	}
	if e.Repeat < 0 || e.Repeat > maxRepeat || e.Every < 0 {
		return errors.Errorf("repeat is not from 0 to %d, or every is negative", maxRepeat)
	}
	if e.Expect != nil && (e.Expect.Decision != nil) != (e.Kind == KindPacket) {
		return errors.New("a packet, and only a packet, expects a decision")
	}
	if e.Kind == KindPacket {
		_, err := e.Packet.input()
		return err
	}
	_, err := e.control(Header{Start: time.Unix(0, 0)})
	return err
}

// strictly decodes one line of JSON that has no unknown fields.
func strictly(text []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return errors.New(strings.TrimPrefix(err.Error(), "json: "))
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one value on a line")
	}
	return nil
}

// hash reads 16 bytes in hexadecimal; "" means zeros.
func hash(text string) ([hashBytes]byte, error) {
	var h [hashBytes]byte
	if text == "" {
		return h, nil
	}
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != hashBytes {
		return h, errors.Errorf("%q is not %d hexadecimal digits", text, 2*hashBytes)
	}
	copy(h[:], decoded)
	return h, nil
}

func (h Host) host() fleet.Host {
	return fleet.Host{
		ID:             h.ID,
		DataCentre:     h.DataCentre,
		Incarnation:    h.Incarnation,
		PeerAddress:    h.Peer,
		HandoffAddress: h.Handoff,
	}
}

func hostsOf(hosts []Host) []fleet.Host {
	var all []fleet.Host
	for _, h := range hosts {
		all = append(all, h.host())
	}
	return all
}

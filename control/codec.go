package control

import (
	"reflect"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/request"
)

// encodedEvent is the CBOR form of an event. Body is the encoded event, or the
// encoded message of a MessageReceived.
type encodedEvent struct {
	At      time.Time         `cbor:"at"`
	Kind    EventKind         `cbor:"event"`
	From    fleet.HostID      `cbor:"from,omitempty"`
	Message fleet.MessageKind `cbor:"message,omitempty"`
	Body    cbor.RawMessage   `cbor:"body"`
}

// encodedOutput is the CBOR form of an Output.
type encodedOutput struct {
	Sends    []encodedSend     `cbor:"sends"`
	Verdicts []request.Verdict `cbor:"verdicts"`
	Attempt  request.AttemptID `cbor:"attempt"`
}

type encodedSend struct {
	To      fleet.HostID      `cbor:"to"`
	Message fleet.MessageKind `cbor:"message"`
	Body    cbor.RawMessage   `cbor:"body"`
}

// eventTypes maps the kind of an event to its type.
var eventTypes = typesOf(
	&Tick{}, &RevisionRead{}, &PlatformAnswered{}, &HostsRead{}, &EvidenceSeen{},
	&ClaimRequested{}, &ClaimEnded{}, &ClaimCancelled{}, &StopRequested{},
)

func typesOf(events ...Event) map[EventKind]reflect.Type {
	types := make(map[EventKind]reflect.Type)
	for _, e := range events {
		types[e.EventKind()] = reflect.TypeOf(e).Elem()
	}
	return types
}

// messageTypes maps the kind of a message to its type.
var messageTypes = messageTypesOf(Messages())

func messageTypesOf(messages []fleet.Message) map[fleet.MessageKind]reflect.Type {
	types := make(map[fleet.MessageKind]reflect.Type)
	for _, m := range messages {
		types[m.Kind()] = reflect.TypeOf(m).Elem()
	}
	return types
}

var encMode = mustEncMode()

func mustEncMode() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339NanoUTC
	mode, err := options.EncMode()
	if err != nil {
		panic(err) // unreachable: the options are constant
	}
	return mode
}

// EncodeEvent returns the CBOR form of an event and its time, with which another
// program can drive a Core.
func EncodeEvent(at time.Time, event Event) ([]byte, error) {
	encoded := encodedEvent{At: at, Kind: event.EventKind()}
	var body any = event
	if received, ok := event.(*MessageReceived); ok {
		encoded.From, encoded.Message, body = received.From, received.Message.Kind(), received.Message
	}
	var err error
	if encoded.Body, err = encMode.Marshal(body); err != nil {
		return nil, errors.Wrapf(err, "encode the body of event %s", encoded.Kind)
	}
	data, err := encMode.Marshal(encoded)
	if err != nil {
		return nil, errors.Wrapf(err, "encode event %s", encoded.Kind)
	}
	return data, nil
}

// DecodeEvent decodes the result of EncodeEvent.
func DecodeEvent(data []byte) (time.Time, Event, error) {
	var encoded encodedEvent
	if err := cbor.Unmarshal(data, &encoded); err != nil {
		return time.Time{}, nil, errors.Wrap(err, "decode event")
	}
	if encoded.Kind == KindMessage {
		return decodeMessage(encoded)
	}
	t, ok := eventTypes[encoded.Kind]
	if !ok {
		return time.Time{}, nil, errors.Errorf("decode event: unknown kind %q", encoded.Kind)
	}
	event := reflect.New(t)
	if err := cbor.Unmarshal(encoded.Body, event.Interface()); err != nil {
		return time.Time{}, nil, errors.Wrapf(err, "decode the body of event %s", encoded.Kind)
	}
	return encoded.At, event.Interface().(Event), nil
}

func decodeMessage(encoded encodedEvent) (time.Time, Event, error) {
	t, ok := messageTypes[encoded.Message]
	if !ok {
		return time.Time{}, nil, errors.Errorf("decode message from %s: unknown kind %q", encoded.From, encoded.Message)
	}
	m := reflect.New(t)
	if err := cbor.Unmarshal(encoded.Body, m.Interface()); err != nil {
		return time.Time{}, nil, errors.Wrapf(err, "decode message %s from %s", encoded.Message, encoded.From)
	}
	return encoded.At, &MessageReceived{From: encoded.From, Message: m.Interface().(fleet.Message)}, nil
}

// EncodeOutput returns the CBOR form of the sends, verdicts and attempt of an Output.
func EncodeOutput(out Output) ([]byte, error) {
	encoded := encodedOutput{Verdicts: out.Verdicts, Attempt: out.Attempt}
	for _, send := range out.Sends {
		body, err := encMode.Marshal(send.Message)
		if err != nil {
			return nil, errors.Wrapf(err, "encode message %s to %s", send.Message.Kind(), send.To)
		}
		encoded.Sends = append(encoded.Sends, encodedSend{To: send.To, Message: send.Message.Kind(), Body: body})
	}
	data, err := encMode.Marshal(encoded)
	if err != nil {
		return nil, errors.Wrap(err, "encode output")
	}
	return data, nil
}

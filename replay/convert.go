package replay

import (
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/control"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/flow"
	"github.com/rattanthread/rattanthread/peer"
	"github.com/rattanthread/rattanthread/request"
)

var registry = newRegistry()

func newRegistry() *peer.Registry {
	r := &peer.Registry{}
	r.Add(control.Messages()...)
	return r
}

// control returns the event as the control state takes it.
func (e *Event) control(h Header) (control.Event, error) {
	switch e.Kind {
	case control.KindTick:
		return &control.Tick{}, nil
	case control.KindStop:
		return &control.StopRequested{}, nil
	case control.KindPlatformAnswered:
		return &control.PlatformAnswered{Revision: e.Revision}, nil
	case control.KindHosts:
		return &control.HostsRead{Hosts: hostsOf(e.Hosts)}, nil
	case control.KindMessage:
		return e.message()
	case control.KindRevision:
		event := &control.RevisionRead{}
		return event, e.need("revised", e.Revised, &event.Revised)
	case control.KindEvidence:
		return e.evidence(h)
	case control.KindClaim:
		return e.claim(h)
	case control.KindClaimEnded:
		event := &control.ClaimEnded{Attempt: e.attempt(h)}
		return event, e.need("result", e.Result, &event.Result)
	case control.KindClaimCancelled:
		return &control.ClaimCancelled{Attempt: e.attempt(h)}, nil
	default:
		return nil, errors.Errorf("unknown event %q", e.Kind)
	}
}

// need decodes a field that the event must have.
func (e *Event) need(name string, data []byte, target any) error {
	if len(data) == 0 {
		return errors.Errorf("event %s needs %s", e.Kind, name)
	}
	if err := decode(data, target); err != nil {
		return errors.Wrap(err, name)
	}
	return nil
}

func (e *Event) message() (control.Event, error) {
	message, ok := registry.New(e.Message)
	if !ok {
		return nil, errors.Errorf("unknown message %q", e.Message)
	}
	if e.From == "" {
		return nil, errors.New("event message needs from")
	}
	return &control.MessageReceived{From: e.From, Message: message}, e.need("body", e.Body, message)
}

func (e *Event) evidence(h Header) (control.Event, error) {
	if e.Evidence == nil || e.Evidence.Server == "" || e.Evidence.Kind == "" {
		return nil, errors.New("event evidence needs evidence with server and kind")
	}
	return &control.EvidenceSeen{Evidence: backend.Evidence{
		Server:   e.Evidence.Server,
		Kind:     e.Evidence.Kind,
		Latency:  time.Duration(e.Evidence.Latency),
		Healthy:  e.Evidence.Healthy,
		Instance: e.Evidence.Instance,
		At:       h.Start.Add(time.Duration(e.Evidence.Made)),
	}}, nil
}

func (e *Event) claim(h Header) (control.Event, error) {
	if e.Claim == nil {
		return nil, errors.New("event claim needs claim")
	}
	key, err := request.ParseKey(e.Claim.Key)
	if err != nil {
		return nil, err
	}
	body, err := hash(e.Claim.Body)
	if err != nil {
		return nil, err
	}
	return &control.ClaimRequested{Claim: request.ClaimRequest{
		Key:      key,
		Service:  e.Claim.Service,
		Body:     body,
		Deadline: h.Start.Add(time.Duration(e.At + e.Claim.Deadline)),
	}}, nil
}

func (e *Event) attempt(h Header) request.AttemptID {
	return request.AttemptID{Host: h.Self.ID, Incarnation: h.Self.Incarnation, Number: e.Attempt}
}

// input returns the packet as the router takes it.
func (p *Packet) input() (flow.Input, error) {
	if p == nil || !p.Source.IsValid() || !p.Destination.IsValid() {
		return flow.Input{}, errors.New("event packet needs packet with source and destination")
	}
	if strings.Trim(p.Flags, "SAFR") != "" {
		return flow.Input{}, errors.Errorf("flags %q: known are S, A, F and R", p.Flags)
	}
	input := flow.Input{
		Key: fleet.FlowKey{
			Source:          p.Source.Addr().As16(),
			Destination:     p.Destination.Addr().As16(),
			SourcePort:      fleet.Port(p.Source.Port()),
			DestinationPort: fleet.Port(p.Destination.Port()),
		},
		SYN:             strings.Contains(p.Flags, "S"),
		ACK:             strings.Contains(p.Flags, "A"),
		FIN:             strings.Contains(p.Flags, "F"),
		RST:             strings.Contains(p.Flags, "R"),
		Handed:          p.From != "",
		From:            p.From,
		PayloadLen:      p.PayloadLen,
		Sequence:        p.Sequence,
		Acknowledgement: p.Acknowledgement,
	}
	switch p.Protocol {
	case "tcp":
		input.Key.Protocol = fleet.ProtocolTCP
	case "udp":
		input.Key.Protocol = fleet.ProtocolUDP
	default:
		return flow.Input{}, errors.Errorf("protocol %q is neither tcp nor udp", p.Protocol)
	}
	return input, nil
}

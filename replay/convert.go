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

var messageTypes = newMessageTypes()

func newMessageTypes() *peer.Registry {
	r := &peer.Registry{}
	r.Add(control.Messages()...)
	return r
}

// controlEvent returns the event as an input of the control state.
func (e *Event) controlEvent(h Header) (control.Event, error) {
	switch e.Kind {
	case control.KindTick:
		return &control.Tick{}, nil
	case control.KindStop:
		return &control.StopRequested{}, nil
	case control.KindPlatformAnswered:
		return &control.PlatformAnswered{Revision: e.Revision}, nil
	case control.KindHosts:
		return &control.HostsRead{Hosts: fleetHosts(e.Hosts)}, nil
	case control.KindMessage:
		return e.messageEvent()
	case control.KindRevision:
		event := &control.RevisionRead{}
		return event, e.decodeField("revised", e.Revised, &event.Published)
	case control.KindEvidence:
		return e.evidenceEvent(h)
	case control.KindClaim:
		return e.claimEvent(h)
	case control.KindClaimEnded:
		event := &control.ClaimEnded{Attempt: e.attemptID(h)}
		return event, e.decodeField("result", e.Result, &event.Result)
	case control.KindClaimCancelled:
		return &control.ClaimCancelled{Attempt: e.attemptID(h)}, nil
	default:
		return nil, errors.Errorf("unknown event %q", e.Kind)
	}
}

// decodeField decodes a required field of the event.
func (e *Event) decodeField(name string, data []byte, target any) error {
	if len(data) == 0 {
		return errors.Errorf("event %s: missing %s", e.Kind, name)
	}
	if err := decode(data, target); err != nil {
		return errors.Wrap(err, name)
	}
	return nil
}

func (e *Event) messageEvent() (control.Event, error) {
	message, ok := messageTypes.New(e.Message)
	if !ok {
		return nil, errors.Errorf("unknown message %q", e.Message)
	}
	if e.From == "" {
		return nil, errors.New("event message: missing from")
	}
	return &control.MessageReceived{From: e.From, Message: message}, e.decodeField("body", e.Body, message)
}

func (e *Event) evidenceEvent(h Header) (control.Event, error) {
	if e.Evidence == nil || e.Evidence.Server == "" || e.Evidence.Kind == "" {
		return nil, errors.New("event evidence: missing evidence, or its server or kind")
	}
	return &control.EvidenceSeen{Evidence: backend.Evidence{
		Server:   e.Evidence.Server,
		Kind:     e.Evidence.Kind,
		Latency:  time.Duration(e.Evidence.Latency),
		Healthy:  e.Evidence.Healthy,
		Instance: e.Evidence.Instance,
		At:       h.Start.Add(time.Duration(e.Evidence.ReportedAt)),
	}}, nil
}

func (e *Event) claimEvent(h Header) (control.Event, error) {
	if e.Claim == nil {
		return nil, errors.New("event claim: missing claim")
	}
	key, err := request.ParseKey(e.Claim.Key)
	if err != nil {
		return nil, err
	}
	body, err := parseHash(e.Claim.Body)
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

func (e *Event) attemptID(h Header) request.AttemptID {
	return request.AttemptID{Host: h.Self.ID, Incarnation: h.Self.Incarnation, Number: e.Attempt}
}

// flowInput returns the packet as an input of the router.
func (p *Packet) flowInput() (flow.Input, error) {
	if p == nil || !p.Source.IsValid() || !p.Destination.IsValid() {
		return flow.Input{}, errors.New("event packet: missing packet, or its source or destination")
	}
	if strings.Trim(p.Flags, "SAFR") != "" {
		return flow.Input{}, errors.Errorf("invalid flags %q: want any of S, A, F and R", p.Flags)
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
		return flow.Input{}, errors.Errorf("invalid protocol %q: want tcp or udp", p.Protocol)
	}
	return input, nil
}

package control

import (
	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/datacentre"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/flow"
	"github.com/rattanthread/rattanthread/membership"
	"github.com/rattanthread/rattanthread/request"
	"github.com/rattanthread/rattanthread/rollout"
)

// component is a decision package that exchanges messages between hosts.
type component uint8

const (
	componentNone component = iota
	componentMembership
	componentRollout
	componentDataCentre
	componentBackend
	componentFlow
	componentRequest
)

// componentMessages returns the message types of each component.
func componentMessages() map[component][]fleet.Message {
	return map[component][]fleet.Message{
		componentMembership: membership.Messages(),
		componentRollout:    rollout.Messages(),
		componentDataCentre: datacentre.Messages(),
		componentBackend:    backend.Messages(),
		componentFlow:       flow.Messages(),
		componentRequest:    request.Messages(),
	}
}

// componentByKind maps the kind of a message to the component that handles it.
var componentByKind = kindComponents()

func kindComponents() map[fleet.MessageKind]component {
	components := make(map[fleet.MessageKind]component)
	for component, messages := range componentMessages() {
		for _, m := range messages {
			components[m.Kind()] = component
		}
	}
	return components
}

// Messages returns a zero value of each message type that a Core sends.
func Messages() []fleet.Message {
	var all []fleet.Message
	for _, messages := range componentMessages() {
		all = append(all, messages...)
	}
	return all
}

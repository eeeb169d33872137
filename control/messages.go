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

// part is a decision package that exchanges messages between hosts.
type part uint8

const (
	partNone part = iota
	partMembership
	partRollout
	partDataCentre
	partBackend
	partFlow
	partRequest
)

// messagesOf returns the messages of each part.
func messagesOf() map[part][]fleet.Message {
	return map[part][]fleet.Message{
		partMembership: membership.Messages(),
		partRollout:    rollout.Messages(),
		partDataCentre: datacentre.Messages(),
		partBackend:    backend.Messages(),
		partFlow:       flow.Messages(),
		partRequest:    request.Messages(),
	}
}

// partOf tells which part a kind of message belongs to.
var partOf = kinds()

func kinds() map[fleet.MessageKind]part {
	parts := make(map[fleet.MessageKind]part)
	for part, messages := range messagesOf() {
		for _, m := range messages {
			parts[m.Kind()] = part
		}
	}
	return parts
}

// Messages returns one zero value of every message that a Core sends.
func Messages() []fleet.Message {
	var all []fleet.Message
	for _, messages := range messagesOf() {
		all = append(all, messages...)
	}
	return all
}

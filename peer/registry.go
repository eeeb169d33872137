package peer

import (
	"reflect"

	"github.com/rattanthread/rattanthread/fleet"
)

// Registry knows the kinds of message that can be received. The zero value is
// empty. It must not be changed once a Hub uses it.
type Registry struct {
	types map[fleet.MessageKind]reflect.Type
}

// Add registers the kinds of messages, which must be pointers to structs. It
// panics when two types claim one kind, since their packages cannot both be right.
func (r *Registry) Add(messages ...fleet.Message) {
	if r.types == nil {
		r.types = make(map[fleet.MessageKind]reflect.Type)
	}
	for _, m := range messages {
		t := reflect.TypeOf(m).Elem()
		if other, ok := r.types[m.Kind()]; ok && other != t {
			panic("peer: both " + other.String() + " and " + t.String() + " are " + string(m.Kind()))
		}
		r.types[m.Kind()] = t
	}
}

// New returns a zero message of a kind, or false for an unknown kind.
func (r *Registry) New(kind fleet.MessageKind) (fleet.Message, bool) {
	t, ok := r.types[kind]
	if !ok {
		return nil, false
	}
	m, ok := reflect.New(t).Interface().(fleet.Message)
	return m, ok
}

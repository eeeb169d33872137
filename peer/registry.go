package peer

import (
	"reflect"

	"github.com/rattanthread/rattanthread/fleet"
)

// Registry maps the message kinds that can be received to their Go types. The zero
// value is an empty registry. It must not be modified once a Hub uses it.
type Registry struct {
	types map[fleet.MessageKind]reflect.Type
}

// Add registers the types of messages, which must be pointers to structs. It
// panics if two types have the same kind, which is a programming error.
func (r *Registry) Add(messages ...fleet.Message) {
	if r.types == nil {
		r.types = make(map[fleet.MessageKind]reflect.Type)
	}
	for _, m := range messages {
		t := reflect.TypeOf(m).Elem()
		if other, ok := r.types[m.Kind()]; ok && other != t {
			panic("peer: types " + other.String() + " and " + t.String() + " both have message kind " + string(m.Kind()))
		}
		r.types[m.Kind()] = t
	}
}

// New returns a new message of a kind, or false if the kind is not registered.
func (r *Registry) New(kind fleet.MessageKind) (fleet.Message, bool) {
	t, ok := r.types[kind]
	if !ok {
		return nil, false
	}
	m, ok := reflect.New(t).Interface().(fleet.Message)
	return m, ok
}

package fleet

// MessageKind names a type of message between entry hosts, in snake case and
// prefixed with the package that defines it, as in "membership_ping".
type MessageKind string

// Message is a typed message between entry hosts. Messages are pointers to
// structs which the CBOR codec can encode.
type Message interface {
	Kind() MessageKind
}

// Send asks the shell to deliver Message to the peer To. Delivery is not
// guaranteed: messages may be lost, repeated or reordered.
type Send struct {
	To      HostID
	Message Message
}

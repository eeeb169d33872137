package fleet

// MessageKind identifies a type of message between entry hosts. It is in snake case
// and prefixed with the package that defines it, as in "membership_ping".
type MessageKind string

// Message is a message between entry hosts. Messages are pointers to structs that
// the CBOR codec can encode.
type Message interface {
	Kind() MessageKind
}

// Send is a request to deliver Message to the peer To. Delivery is not guaranteed:
// messages may be lost, duplicated or reordered.
type Send struct {
	To      HostID
	Message Message
}

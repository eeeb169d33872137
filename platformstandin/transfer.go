package platformstandin

// TransferKind is the kind of a Transfer.
type TransferKind int

// The kinds of transfers.
const (
	// FeedTransfer is a message of a feed between hosts, in either direction.
	FeedTransfer TransferKind = iota
	// LoadsTransfer is a message of the load exchange between zones.
	LoadsTransfer
	// StoreTransfer is the body of a response of the store.
	StoreTransfer
)

// Transfer is a message from one host to another, or a response of the store to a host.
type Transfer struct {
	Kind TransferKind
	// From is the sender; nil is the store.
	From, To *Node
	// Message is nil for a response of the store. It must not be changed.
	Message []byte
	// Bytes is the size of the message or body, without headers.
	Bytes int
}

func (s *Site) observe(transfer Transfer) {
	if s.Observe != nil {
		s.Observe(transfer)
	}
}

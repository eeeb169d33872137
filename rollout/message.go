package rollout

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Head is the place of a configuration in its history. The zero value stands
// for no configuration.
type Head struct {
	_         struct{} `cbor:",toarray"`
	History   fleet.HistoryID
	Revision  fleet.Revision
	Published time.Time
}

// After reports whether a host that has other in force should go over to h. In
// one history the higher revision prevails; of two histories the one published
// later does.
func (h Head) After(other Head) bool {
	switch {
	case h.Revision == 0:
		return false
	case other.Revision == 0:
		return true
	case h.History == other.History:
		return h.Revision > other.Revision
	case !h.Published.Equal(other.Published):
		return h.Published.After(other.Published)
	}
	return h.History > other.History
}

// Announce tells what the sender has in force.
type Announce struct {
	Head Head `cbor:"head"`
	// Fresh tells that the sender has not yet compared itself with its peers.
	Fresh bool `cbor:"fresh"`
	// Ask asks for an Announce, or for what the sender lacks.
	Ask bool `cbor:"ask"`
}

// Fetch asks for what follows Have: the changes if the receiver still has them,
// else a part of the whole configuration.
type Fetch struct {
	Have Head `cbor:"have"`
	// Sum and Index continue a snapshot; Sum is 0 to begin one.
	Sum   uint64 `cbor:"sum"`
	Index int    `cbor:"index"`
}

// Changes carries consecutive steps of one history.
type Changes struct {
	Head  Head   `cbor:"head"` // after the last step
	Steps []Step `cbor:"steps"`
}

// Step leads from one revision to a later one.
type Step struct {
	_           struct{} `cbor:",toarray"`
	From        fleet.Revision
	To          fleet.Revision
	Published   time.Time
	Publication string
	Delta       []byte // encoded config.Delta
}

// Chunk is a part of the encoded configuration.
type Chunk struct {
	Head  Head   `cbor:"head"`
	Sum   uint64 `cbor:"sum"` // hash of the whole encoding
	Index int    `cbor:"index"`
	Count int    `cbor:"count"`
	Data  []byte `cbor:"data"`
}

// Kind implements fleet.Message.
func (*Announce) Kind() fleet.MessageKind { return "rollout_head" }

// Kind implements fleet.Message.
func (*Fetch) Kind() fleet.MessageKind { return "rollout_fetch" }

// Kind implements fleet.Message.
func (*Changes) Kind() fleet.MessageKind { return "rollout_changes" }

// Kind implements fleet.Message.
func (*Chunk) Kind() fleet.MessageKind { return "rollout_chunk" }

// Messages returns one zero value of every message of this package.
func Messages() []fleet.Message {
	return []fleet.Message{&Announce{}, &Fetch{}, &Changes{}, &Chunk{}}
}

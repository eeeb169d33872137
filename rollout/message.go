package rollout

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Head identifies a configuration by its history and revision. The zero value means
// no configuration.
type Head struct {
	_         struct{} `cbor:",toarray"`
	History   fleet.HistoryID
	Revision  fleet.Revision
	Published time.Time
}

// After reports whether h supersedes other. Within a history the higher revision
// takes precedence; between histories the one published later does.
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

// Announce reports the configuration that the sender has in force.
type Announce struct {
	Head Head `cbor:"head"`
	// Fresh indicates that the sender has not yet compared itself with its peers.
	Fresh bool `cbor:"fresh"`
	// ReplyRequested requests an Announce, or the changes that the sender lacks.
	ReplyRequested bool `cbor:"ask"`
}

// Fetch requests the changes after Have if the receiver still has them, and a chunk
// of the full configuration otherwise.
type Fetch struct {
	Have Head `cbor:"have"`
	// Sum and Index select the next chunk of a snapshot. Sum is 0 to start one.
	Sum   uint64 `cbor:"sum"`
	Index int    `cbor:"index"`
}

// Changes carries consecutive steps of one history.
type Changes struct {
	Head  Head   `cbor:"head"` // after the last step
	Steps []Step `cbor:"steps"`
}

// Step is the change from one revision to a later one.
type Step struct {
	_           struct{} `cbor:",toarray"`
	From        fleet.Revision
	To          fleet.Revision
	Published   time.Time
	Publication string
	Delta       []byte // encoded config.Delta
}

// Chunk is a part of a snapshot, which is an encoded configuration.
type Chunk struct {
	Head  Head   `cbor:"head"`
	Sum   uint64 `cbor:"sum"` // hash of the full snapshot
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

// Messages returns a zero value of every message type in this package.
func Messages() []fleet.Message {
	return []fleet.Message{&Announce{}, &Fetch{}, &Changes{}, &Chunk{}}
}

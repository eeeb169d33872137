// Package packet encodes and decodes the packets that entry hosts forward: inner
// IP packets in UDP, as Linux foo-over-UDP sends them, resets to callers, and the
// authenticated envelope in which one entry host hands off a packet to another.
//
// The package contains codecs only. It performs no I/O and does not read the clock.
package packet

import "github.com/rattanthread/rattanthread/fleet"

// Flags is a set of the TCP flags that forwarding decisions depend on.
type Flags uint8

// The TCP flags.
const (
	FIN Flags = 1 << iota
	SYN
	RST
	ACK
)

// Has reports whether all of want are set.
func (f Flags) Has(want Flags) bool { return f&want == want }

// Packet is the decoded form of a datagram. Inner points into the datagram.
type Packet struct {
	Key             fleet.FlowKey
	Flags           Flags
	Sequence        uint32
	Acknowledgement uint32
	PayloadLen      int
	Inner           []byte
}

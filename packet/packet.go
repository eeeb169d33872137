// Package packet reads and writes the packets that entry hosts carry: inner IP
// packets in UDP, as Linux foo-over-UDP sends them, resets to callers, and the
// authenticated envelope in which one entry host hands a packet to another.
//
// The package holds codecs only. It does no I/O and reads no clock.
package packet

import "github.com/rattanthread/rattanthread/fleet"

// Flags are the TCP flags that matter to a decision.
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

// Packet is what was read from one datagram. Inner points into the datagram.
type Packet struct {
	Key             fleet.FlowKey
	Flags           Flags
	Sequence        uint32
	Acknowledgement uint32
	PayloadLen      int
	Inner           []byte
}

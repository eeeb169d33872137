package flow

import (
	"encoding/binary"
	"math/bits"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/fleet"
)

// snapshot is what the traffic goroutines decide by. It does not change, but
// for the slotFlows that it points to.
type snapshot struct {
	ready    bool
	services map[addressKey]*serviceView
}

// addressKey is the address, port and protocol of a service. It is an array
// without gaps, which maps hash in one piece.
type addressKey [16 + 2 + 1]byte

func newAddressKey(address netip.AddrPort, protocol fleet.Protocol) addressKey {
	return destinationKey(&fleet.FlowKey{
		Destination:     address.Addr().As16(),
		DestinationPort: fleet.Port(address.Port()),
		Protocol:        protocol,
	})
}

// destinationKey returns the address to which the packets of a flow are sent.
func destinationKey(k *fleet.FlowKey) (key addressKey) {
	*(*[16]byte)(key[:16]) = k.Destination
	key[16], key[17], key[18] = byte(k.DestinationPort>>8), byte(k.DestinationPort), byte(k.Protocol)
	return key
}

// serviceView is one service of a snapshot.
type serviceView struct {
	index   uint16
	name    fleet.ServiceName
	idle    time.Duration
	slots   []slotEntry
	splits  []split
	servers []serverView // by the server's index
}

// slotEntry holds the agreed server of a slot in the lower half, and in the
// upper half one more than the position of its split, or zero if it is whole.
type slotEntry uint32

func newSlotEntry(agreed uint16, split int) slotEntry {
	return slotEntry(agreed) | slotEntry(split+1)<<16
}

func (e slotEntry) agreed() uint16 { return uint16(e) }
func (e slotEntry) split() int     { return int(e>>16) - 1 }

// serverView is one server of a service, with the decision to forward to it.
type serverView struct {
	forward   Decision
	admission Admission
	weighted  bool
	out       bool
	gone      bool
}

var goneServer = serverView{gone: true}

// server returns a server by index. One that is newer than the view is gone.
func (v *serviceView) server(index uint16) *serverView {
	if int(index) >= len(v.servers) {
		return &goneServer
	}
	return &v.servers[index]
}

// usable reports whether packets of established flows may go to the server.
func (s *serverView) usable() bool { return !s.out && !s.gone }

// hashFlow returns the keyed hash of a flow. The key keeps callers, who choose ports
// and often addresses, from aiming flows at one slot or at one record. XXH64 is
// no cryptographic hash: whoever can observe many decisions, or learns the key,
// can do so. What is at risk then is evenness, never another service's flows.
func hashFlow(key *[16]byte, k *fleet.FlowKey) uint64 {
	var b [16 + 16 + 16 + 5]byte
	copy(b[:], key[:])
	copy(b[16:], k.Source[:])
	copy(b[32:], k.Destination[:])
	binary.LittleEndian.PutUint16(b[48:], uint16(k.SourcePort))
	binary.LittleEndian.PutUint16(b[50:], uint16(k.DestinationPort))
	b[52] = byte(k.Protocol)
	return xxhash.Sum64(b[:])
}

// slotOf returns the slot of a flow.
func slotOf(hash uint64) uint16 {
	hi, _ := bits.Mul64(hash, SlotCount)
	return uint16(hi)
}

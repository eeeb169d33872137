package flow

import (
	"encoding/binary"
	"math/bits"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/fleet"
)

// snapshot is the state that the traffic goroutines read. It is immutable, except
// for the slotFlows that it points to.
type snapshot struct {
	ready    bool
	services map[addressKey]*serviceView
}

// addressKey is the address, port and protocol of a service. It is an array
// without padding, which maps hash in a single call.
type addressKey [16 + 2 + 1]byte

func newAddressKey(address netip.AddrPort, protocol fleet.Protocol) addressKey {
	return destinationKey(&fleet.FlowKey{
		Destination:     address.Addr().As16(),
		DestinationPort: fleet.Port(address.Port()),
		Protocol:        protocol,
	})
}

// destinationKey returns the addressKey of a flow's destination.
func destinationKey(flow *fleet.FlowKey) (key addressKey) {
	*(*[16]byte)(key[:16]) = flow.Destination
	key[16], key[17], key[18] = byte(flow.DestinationPort>>8), byte(flow.DestinationPort), byte(flow.Protocol)
	return key
}

// serviceView is one service of a snapshot.
type serviceView struct {
	index       uint16
	name        fleet.ServiceName
	idleTimeout time.Duration
	slots       []slotEntry
	splits      []split
	servers     []serverView // by the server's index
}

// slotEntry holds the agreed server of a slot in its lower half. The upper half
// is the position of the slot's split plus one, or zero if the slot is not split.
type slotEntry uint32

func newSlotEntry(agreed uint16, split int) slotEntry {
	return slotEntry(agreed) | slotEntry(split+1)<<16
}

func (e slotEntry) agreed() uint16 { return uint16(e) }
func (e slotEntry) split() int     { return int(e>>16) - 1 }

// serverView is one server of a service, with the Decision that forwards to it.
type serverView struct {
	forward   Decision
	admission Admission
	weighted  bool
	out       bool
	removed   bool
}

var removedServer = serverView{removed: true}

// server returns a server by index. A server added after this view was built
// is returned as removed.
func (v *serviceView) server(index uint16) *serverView {
	if int(index) >= len(v.servers) {
		return &removedServer
	}
	return &v.servers[index]
}

// usable reports whether packets of established flows may go to the server.
func (s *serverView) usable() bool { return !s.out && !s.removed }

// hashFlow returns the keyed hash of a flow. The key prevents callers, who choose
// their ports and often addresses, from directing flows at one slot or record.
// XXH64 is not a cryptographic hash: an attacker who observes many decisions, or
// learns the key, can still do so. That skews the load of one service's servers
// but cannot affect the flows of other services.
func hashFlow(key *[16]byte, flow *fleet.FlowKey) uint64 {
	var buf [16 + 16 + 16 + 5]byte
	copy(buf[:], key[:])
	copy(buf[16:], flow.Source[:])
	copy(buf[32:], flow.Destination[:])
	binary.LittleEndian.PutUint16(buf[48:], uint16(flow.SourcePort))
	binary.LittleEndian.PutUint16(buf[50:], uint16(flow.DestinationPort))
	buf[52] = byte(flow.Protocol)
	return xxhash.Sum64(buf[:])
}

// slotOf returns the slot of a flow by its hash.
func slotOf(hash uint64) uint16 {
	hi, _ := bits.Mul64(hash, SlotCount)
	return uint16(hi)
}

package platformstandin

import (
	"encoding/binary"
	"net/netip"

	"github.com/rattanthread/rattanthread/platform"
)

// flowID identifies a flow by the addresses of its client and its route.
type flowID struct{ client, route netip.AddrPort }

// Packet flags.
const (
	flagRST = 2
	flagSYN = 8
	flagFIN = 32
	flagACK = 128
)

// segment is a packet of a client.
type segment struct {
	flow     flowID
	flags    byte
	cookie   uint32
	seq, ack uint32
	request  uint64 // 0 for none
}

// requestBytes is the payload size of a packet with a request.
const requestBytes = 8

func (s *segment) encode() []byte {
	b := make([]byte, platform.HeaderBytes, platform.HeaderBytes+requestBytes)
	client, route := s.flow.client.Addr().As4(), s.flow.route.Addr().As4()
	copy(b, client[:])
	copy(b[4:], route[:])
	binary.BigEndian.PutUint16(b[8:], s.flow.client.Port())
	binary.BigEndian.PutUint16(b[10:], s.flow.route.Port())
	binary.BigEndian.PutUint32(b[14:], s.cookie)
	binary.BigEndian.PutUint32(b[18:], s.seq)
	binary.BigEndian.PutUint32(b[22:], s.ack)
	b[30] = s.flags
	if s.request != 0 {
		binary.BigEndian.PutUint16(b[12:], requestBytes)
		b = binary.BigEndian.AppendUint64(b, s.request)
	}
	return b
}

func decode(b []byte) (segment, bool) {
	p, err := platform.ParsePacket(b)
	if err != nil {
		return segment{}, false
	}
	s := segment{flow: flowID{p.Source, p.Destination}, flags: b[30], cookie: uint32(p.Cookie), seq: p.Seq, ack: p.Ack}
	if p.Length == requestBytes {
		s.request = binary.BigEndian.Uint64(b[platform.HeaderBytes:])
	}
	return s, true
}

// answer is a packet to a client: from a target, or a reset from an entry host.
type answer struct {
	flags   byte
	cookie  uint32
	seq     uint32
	request uint64
	// refused means that the request was not run.
	refused bool
	// fromHost is set if the packet is a reset from an entry host.
	fromHost bool
}

// OpeningPacket returns a packet that opens a flow.
func OpeningPacket() []byte {
	client := netip.MustParseAddrPort("127.0.0.9:1000")
	p := segment{flow: flowID{client, feedRoute}, flags: flagSYN, seq: 1}
	return p.encode()
}

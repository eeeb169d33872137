package stand

import (
	"encoding/binary"
	"net/netip"
)

// Flags of a packet.
const (
	flagRST = 2
	flagSYN = 8
	flagFIN = 32
	flagACK = 128
)

const (
	headerBytes = 34
	tagBytes    = 8
	maxDatagram = 2048
)

// packet is a packet of a flow.
type packet struct {
	source, destination netip.AddrPort
	echo, seq, ack      uint32
	flags               byte
	data                []byte
}

func (p *packet) encode() []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.data))
	source, destination := p.source.Addr().As4(), p.destination.Addr().As4()
	copy(b, source[:])
	copy(b[4:], destination[:])
	binary.BigEndian.PutUint16(b[8:], p.source.Port())
	binary.BigEndian.PutUint16(b[10:], p.destination.Port())
	binary.BigEndian.PutUint16(b[12:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[14:], p.echo)
	binary.BigEndian.PutUint32(b[18:], p.seq)
	binary.BigEndian.PutUint32(b[22:], p.ack)
	b[30] = p.flags
	return append(b, p.data...)
}

func decode(b []byte) (packet, bool) {
	if len(b) < headerBytes || len(b) != headerBytes+int(binary.BigEndian.Uint16(b[12:])) {
		return packet{}, false
	}
	return packet{
		source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), binary.BigEndian.Uint16(b[8:])),
		destination: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:])), binary.BigEndian.Uint16(b[10:])),
		echo:        binary.BigEndian.Uint32(b[14:]),
		seq:         binary.BigEndian.Uint32(b[18:]),
		ack:         binary.BigEndian.Uint32(b[22:]),
		flags:       b[30],
		data:        append([]byte(nil), b[headerBytes:]...),
	}, true
}

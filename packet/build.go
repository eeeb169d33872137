package packet

import (
	"net/netip"
	"sync"

	"github.com/go-faster/errors"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/rattanthread/rattanthread/fleet"
)

// Segment describes an inner TCP packet to build.
type Segment struct {
	Source, Destination       netip.AddrPort
	Flags                     Flags
	Sequence, Acknowledgement uint32
	Payload                   []byte
}

// Datagram describes an inner UDP packet to build.
type Datagram struct {
	Source, Destination netip.AddrPort
	Payload             []byte
}

const (
	// hopLimit is the IPv4 TTL or IPv6 hop limit of built packets.
	hopLimit = 64
	// receiveWindow is the window in bytes that built segments advertise, except resets.
	receiveWindow = 65535
)

var buffers = sync.Pool{New: func() any { return gopacket.NewSerializeBuffer() }}

// AppendTCP appends the inner packet of s to dst, with its checksums.
func AppendTCP(dst []byte, s *Segment) ([]byte, error) {
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(s.Source.Port()),
		DstPort: layers.TCPPort(s.Destination.Port()),
		Seq:     s.Sequence,
		Ack:     s.Acknowledgement,
		FIN:     s.Flags.Has(FIN),
		SYN:     s.Flags.Has(SYN),
		RST:     s.Flags.Has(RST),
		ACK:     s.Flags.Has(ACK),
		Window:  receiveWindow,
	}
	if tcp.RST {
		tcp.Window = 0
	}
	network := networkLayer(s.Source.Addr(), s.Destination.Addr(), layers.IPProtocolTCP)
	if err := tcp.SetNetworkLayerForChecksum(network); err != nil {
		return dst, errors.Wrap(err, "checksum TCP packet")
	}
	return appendLayers(dst, network, tcp, s.Payload)
}

// AppendUDP appends the inner packet of d to dst, with its checksums.
func AppendUDP(dst []byte, d *Datagram) ([]byte, error) {
	udp := &layers.UDP{
		SrcPort: layers.UDPPort(d.Source.Port()),
		DstPort: layers.UDPPort(d.Destination.Port()),
	}
	network := networkLayer(d.Source.Addr(), d.Destination.Addr(), layers.IPProtocolUDP)
	if err := udp.SetNetworkLayerForChecksum(network); err != nil {
		return dst, errors.Wrap(err, "checksum UDP packet")
	}
	return appendLayers(dst, network, udp, d.Payload)
}

// serializableNetwork is a network layer that can be serialized.
type serializableNetwork interface {
	gopacket.NetworkLayer
	gopacket.SerializableLayer
}

func networkLayer(source, destination netip.Addr, protocol layers.IPProtocol) serializableNetwork {
	source, destination = source.Unmap(), destination.Unmap()
	if source.Is4() && destination.Is4() {
		return &layers.IPv4{
			Version:  4,
			TTL:      hopLimit,
			Protocol: protocol,
			Flags:    layers.IPv4DontFragment,
			SrcIP:    source.AsSlice(),
			DstIP:    destination.AsSlice(),
		}
	}
	source16, destination16 := source.As16(), destination.As16()
	return &layers.IPv6{
		Version:    6,
		HopLimit:   hopLimit,
		NextHeader: protocol,
		SrcIP:      source16[:],
		DstIP:      destination16[:],
	}
}

func appendLayers(dst []byte, network, transport gopacket.SerializableLayer, payload []byte) ([]byte, error) {
	buffer := buffers.Get().(gopacket.SerializeBuffer)
	defer buffers.Put(buffer)
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	err := gopacket.SerializeLayers(buffer, options, network, transport, gopacket.Payload(payload))
	if err != nil {
		return dst, errors.Wrap(err, "serialize inner packet")
	}
	return append(dst, buffer.Bytes()...), nil
}

// AppendReset appends an inner TCP reset in response to p, from the service to
// the caller, as RFC 9293, section 3.10.7.1, specifies: the reset acknowledges a
// segment without an acknowledgement number, such as a SYN; for any other
// segment, its sequence number is the one that the caller expects next.
//
// It returns dst unchanged if p is a UDP packet or itself a reset.
func AppendReset(dst []byte, p *Packet) []byte {
	if p.Key.Protocol != fleet.ProtocolTCP || p.Flags.Has(RST) {
		return dst
	}
	s := Segment{Source: p.Key.DestinationAddress(), Destination: p.Key.SourceAddress()}
	if p.Flags.Has(ACK) {
		s.Flags, s.Sequence = RST, p.Acknowledgement
	} else {
		s.Flags, s.Acknowledgement = RST|ACK, p.Sequence+segmentLen(p)
	}
	return appendSegment(dst, &s)
}

// AppendServerReset appends an inner TCP reset from the caller of p to the
// service, which closes the server's side of an unresponsive flow. A server that
// expects another sequence number responds with an acknowledgement (RFC 5961), to
// which the caller, whose side is already reset, responds with a reset.
func AppendServerReset(dst []byte, p *Packet) []byte {
	if p.Key.Protocol != fleet.ProtocolTCP || p.Flags.Has(RST) {
		return dst
	}
	return appendSegment(dst, &Segment{
		Source:          p.Key.SourceAddress(),
		Destination:     p.Key.DestinationAddress(),
		Flags:           RST | ACK,
		Sequence:        p.Sequence,
		Acknowledgement: p.Acknowledgement,
	})
}

// appendSegment appends s to dst. It returns dst unchanged if s can't be built.
func appendSegment(dst []byte, s *Segment) []byte {
	out, err := AppendTCP(dst, s)
	if err != nil {
		return dst
	}
	return out
}

// segmentLen returns the length of p in sequence space, where SYN and FIN count one each.
func segmentLen(p *Packet) uint32 {
	n := uint32(p.PayloadLen)
	if p.Flags.Has(SYN) {
		n++
	}
	if p.Flags.Has(FIN) {
		n++
	}
	return n
}

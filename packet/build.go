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

// AppendTCP appends segment to dst as an inner packet, with its checksums.
func AppendTCP(dst []byte, segment *Segment) ([]byte, error) {
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(segment.Source.Port()),
		DstPort: layers.TCPPort(segment.Destination.Port()),
		Seq:     segment.Sequence,
		Ack:     segment.Acknowledgement,
		FIN:     segment.Flags.Has(FIN),
		SYN:     segment.Flags.Has(SYN),
		RST:     segment.Flags.Has(RST),
		ACK:     segment.Flags.Has(ACK),
		Window:  receiveWindow,
	}
	if tcp.RST {
		tcp.Window = 0
	}
	network := networkLayer(segment.Source.Addr(), segment.Destination.Addr(), layers.IPProtocolTCP)
	if err := tcp.SetNetworkLayerForChecksum(network); err != nil {
		return dst, errors.Wrap(err, "checksum TCP packet")
	}
	return appendLayers(dst, network, tcp, segment.Payload)
}

// AppendUDP appends datagram to dst as an inner packet, with its checksums.
func AppendUDP(dst []byte, datagram *Datagram) ([]byte, error) {
	udp := &layers.UDP{
		SrcPort: layers.UDPPort(datagram.Source.Port()),
		DstPort: layers.UDPPort(datagram.Destination.Port()),
	}
	network := networkLayer(datagram.Source.Addr(), datagram.Destination.Addr(), layers.IPProtocolUDP)
	if err := udp.SetNetworkLayerForChecksum(network); err != nil {
		return dst, errors.Wrap(err, "checksum UDP packet")
	}
	return appendLayers(dst, network, udp, datagram.Payload)
}

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

// AppendReset appends an inner TCP reset in response to packet, from the service
// to the caller, as RFC 9293, section 3.10.7.1, specifies: the reset acknowledges
// a segment without an acknowledgement number, such as a SYN; for any other
// segment, its sequence number is the one that the caller expects next.
//
// It returns dst unchanged if packet is a UDP packet or itself a reset.
func AppendReset(dst []byte, packet *Packet) []byte {
	if packet.Key.Protocol != fleet.ProtocolTCP || packet.Flags.Has(RST) {
		return dst
	}
	segment := Segment{Source: packet.Key.DestinationAddress(), Destination: packet.Key.SourceAddress()}
	if packet.Flags.Has(ACK) {
		segment.Flags, segment.Sequence = RST, packet.Acknowledgement
	} else {
		segment.Flags, segment.Acknowledgement = RST|ACK, packet.Sequence+segmentLen(packet)
	}
	return appendSegment(dst, &segment)
}

// AppendServerReset appends an inner TCP reset from the caller of packet to the
// service, which closes the server's side of an unresponsive flow. A server that
// expects another sequence number responds with an acknowledgement (RFC 5961), to
// which the caller, whose side is already reset, responds with a reset.
func AppendServerReset(dst []byte, packet *Packet) []byte {
	if packet.Key.Protocol != fleet.ProtocolTCP || packet.Flags.Has(RST) {
		return dst
	}
	return appendSegment(dst, &Segment{
		Source:          packet.Key.SourceAddress(),
		Destination:     packet.Key.DestinationAddress(),
		Flags:           RST | ACK,
		Sequence:        packet.Sequence,
		Acknowledgement: packet.Acknowledgement,
	})
}

// appendSegment appends segment to dst. It returns dst unchanged if the segment
// can't be built.
func appendSegment(dst []byte, segment *Segment) []byte {
	out, err := AppendTCP(dst, segment)
	if err != nil {
		return dst
	}
	return out
}

// segmentLen returns the length of packet in sequence space, where SYN and FIN
// count one each.
func segmentLen(packet *Packet) uint32 {
	length := uint32(packet.PayloadLen)
	if packet.Flags.Has(SYN) {
		length++
	}
	if packet.Flags.Has(FIN) {
		length++
	}
	return length
}

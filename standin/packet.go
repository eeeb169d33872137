package standin

import (
	"encoding/binary"
	"net/netip"

	"github.com/go-faster/errors"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/rattanthread/rattanthread/fleet"
)

// Flags is a set of TCP flags.
type Flags uint8

// The supported TCP flags.
const (
	FlagSYN Flags = 1 << iota
	FlagACK
	FlagFIN
	FlagRST
)

// Has reports whether all flags of other are set in f.
func (f Flags) Has(other Flags) bool {
	return f&other == other
}

// Packet is an inner IPv4 packet, reduced to the fields in use. The UDP payload
// of an encapsulated packet is one such packet.
type Packet struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	Protocol    fleet.Protocol
	// Flags, Sequence and Acknowledgement are unused for UDP.
	Flags           Flags
	Sequence        uint32
	Acknowledgement uint32
	Payload         []byte
}

const (
	packetTTL    = 64    // hops
	packetWindow = 65535 // bytes
)

// Encode returns the packet in wire format, with valid checksums.
func (p Packet) Encode() ([]byte, error) {
	ip := &layers.IPv4{
		Version:  4,
		TTL:      packetTTL,
		Protocol: layers.IPProtocol(p.Protocol),
		SrcIP:    p.Source.Addr().Unmap().AsSlice(),
		DstIP:    p.Destination.Addr().Unmap().AsSlice(),
	}
	transportLayer, err := p.transportLayer(ip)
	if err != nil {
		return nil, err
	}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buffer, options, ip, transportLayer, gopacket.Payload(p.Payload)); err != nil {
		return nil, errors.Wrap(err, "encode packet")
	}
	return buffer.Bytes(), nil
}

func (p Packet) transportLayer(ip *layers.IPv4) (gopacket.SerializableLayer, error) {
	switch p.Protocol {
	case fleet.ProtocolTCP:
		tcp := &layers.TCP{
			SrcPort: layers.TCPPort(p.Source.Port()),
			DstPort: layers.TCPPort(p.Destination.Port()),
			Seq:     p.Sequence,
			Ack:     p.Acknowledgement,
			SYN:     p.Flags.Has(FlagSYN),
			ACK:     p.Flags.Has(FlagACK),
			FIN:     p.Flags.Has(FlagFIN),
			RST:     p.Flags.Has(FlagRST),
			Window:  packetWindow,
		}
		return tcp, tcp.SetNetworkLayerForChecksum(ip)
	case fleet.ProtocolUDP:
		udp := &layers.UDP{
			SrcPort: layers.UDPPort(p.Source.Port()),
			DstPort: layers.UDPPort(p.Destination.Port()),
		}
		return udp, udp.SetNetworkLayerForChecksum(ip)
	default:
		return nil, errors.Errorf("encode packet: protocol %d is neither TCP nor UDP", p.Protocol)
	}
}

// DecodePacket decodes an inner packet. Its payload aliases data.
func DecodePacket(data []byte) (Packet, error) {
	var ip layers.IPv4
	if err := ip.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
		return Packet{}, errors.Wrap(err, "decode IPv4 header")
	}
	source, _ := netip.AddrFromSlice(ip.SrcIP)
	destination, _ := netip.AddrFromSlice(ip.DstIP)
	p := Packet{Protocol: fleet.Protocol(ip.Protocol)}
	switch p.Protocol {
	case fleet.ProtocolTCP:
		var tcp layers.TCP
		if err := tcp.DecodeFromBytes(ip.Payload, gopacket.NilDecodeFeedback); err != nil {
			return Packet{}, errors.Wrap(err, "decode TCP header")
		}
		p.Source = netip.AddrPortFrom(source, uint16(tcp.SrcPort))
		p.Destination = netip.AddrPortFrom(destination, uint16(tcp.DstPort))
		p.Sequence, p.Acknowledgement = tcp.Seq, tcp.Ack
		p.Flags = tcpFlags(&tcp)
		p.Payload = tcp.Payload
	case fleet.ProtocolUDP:
		var udp layers.UDP
		if err := udp.DecodeFromBytes(ip.Payload, gopacket.NilDecodeFeedback); err != nil {
			return Packet{}, errors.Wrap(err, "decode UDP header")
		}
		p.Source = netip.AddrPortFrom(source, uint16(udp.SrcPort))
		p.Destination = netip.AddrPortFrom(destination, uint16(udp.DstPort))
		p.Payload = udp.Payload
	default:
		return Packet{}, errors.Errorf("decode packet: protocol %d is neither TCP nor UDP", ip.Protocol)
	}
	return p, nil
}

func tcpFlags(tcp *layers.TCP) Flags {
	var flags Flags
	for _, flag := range []struct {
		set   bool
		value Flags
	}{{tcp.SYN, FlagSYN}, {tcp.ACK, FlagACK}, {tcp.FIN, FlagFIN}, {tcp.RST, FlagRST}} {
		if flag.set {
			flags |= flag.value
		}
	}
	return flags
}

// flowKey returns the key of the packet's flow without allocating.
func (p Packet) flowKey() fleet.FlowKey {
	return fleet.FlowKey{
		Source:          p.Source.Addr().As16(),
		Destination:     p.Destination.Addr().As16(),
		SourcePort:      fleet.Port(p.Source.Port()),
		DestinationPort: fleet.Port(p.Destination.Port()),
		Protocol:        p.Protocol,
	}
}

// reply returns a packet in the opposite direction of p.
func (p Packet) reply() Packet {
	return Packet{Source: p.Destination, Destination: p.Source, Protocol: p.Protocol}
}

// segmentLength returns the length of the packet in sequence space.
func (p Packet) segmentLength() uint32 {
	length := uint32(len(p.Payload))
	if p.Flags.Has(FlagSYN) {
		length++
	}
	if p.Flags.Has(FlagFIN) {
		length++
	}
	return length
}

// initialSequence derives an initial sequence number from a flow key and a salt.
func initialSequence(key fleet.FlowKey, salt uint32) uint32 {
	return salt ^ binary.BigEndian.Uint32(key.Source[12:])*2654435761 ^ uint32(key.SourcePort)<<13
}

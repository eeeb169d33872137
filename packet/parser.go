package packet

import (
	"net"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/rattanthread/rattanthread/fleet"
)

// MaxInner is the maximum length of an inner packet in bytes.
const MaxInner = 9000

// Parser decodes inner packets. The zero value is ready to use. It is not safe for
// concurrent use.
type Parser struct {
	ip4 layers.IPv4
	ip6 layers.IPv6
	tcp layers.TCP
	udp layers.UDP
	// tcpHeader holds a TCP header without its options.
	tcpHeader [tcpMinHeader]byte
}

// Parse decodes datagram, the payload of a UDP packet from the fabric, into out.
// The error, if any, is a Reason. Parse does not allocate.
func (p *Parser) Parse(datagram []byte, out *Packet) error {
	*out = Packet{}
	if len(datagram) == 0 {
		return ReasonTruncated
	}
	if len(datagram) > MaxInner {
		return ReasonOversize
	}
	out.Inner = datagram
	switch datagram[0] >> 4 {
	case 4:
		return p.parseIPv4(datagram, out)
	case 6:
		return p.parseIPv6(datagram, out)
	}
	return ReasonBadVersion
}

const (
	ipv4MinHeader = 20
	ipv6Header    = 40
)

func (p *Parser) parseIPv4(data []byte, out *Packet) error {
	if len(data) < ipv4MinHeader {
		return ReasonTruncated
	}
	header := int(data[0]&0xf) * 4
	length := int(data[2])<<8 | int(data[3])
	switch {
	case header < ipv4MinHeader || length < header:
		return ReasonBadHeader
	case len(data) < length:
		return ReasonTruncated
	case len(data) > length:
		return ReasonOversize
	}
	if err := p.ip4.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
		return ReasonBadHeader
	}
	if p.ip4.Flags&layers.IPv4MoreFragments != 0 || p.ip4.FragOffset != 0 {
		return ReasonFragment
	}
	if p.ip4.TTL <= 1 {
		return ReasonHopLimit
	}
	setAddress(&out.Key.Source, p.ip4.SrcIP)
	setAddress(&out.Key.Destination, p.ip4.DstIP)
	return p.parseTransport(p.ip4.Protocol, p.ip4.Payload, out)
}

func (p *Parser) parseIPv6(data []byte, out *Packet) error {
	if len(data) < ipv6Header {
		return ReasonTruncated
	}
	length := ipv6Header + (int(data[4])<<8 | int(data[5]))
	switch {
	case len(data) < length:
		return ReasonTruncated
	case len(data) > length:
		return ReasonOversize
	}
	next := layers.IPProtocol(data[6])
	if next == layers.IPProtocolIPv6Fragment {
		return ReasonFragment
	}
	if next != layers.IPProtocolTCP && next != layers.IPProtocolUDP {
		return ReasonProtocol
	}
	if err := p.ip6.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
		return ReasonBadHeader
	}
	if p.ip6.HopLimit <= 1 {
		return ReasonHopLimit
	}
	setAddress(&out.Key.Source, p.ip6.SrcIP)
	setAddress(&out.Key.Destination, p.ip6.DstIP)
	return p.parseTransport(next, p.ip6.Payload, out)
}

func (p *Parser) parseTransport(protocol layers.IPProtocol, data []byte, out *Packet) error {
	switch protocol {
	case layers.IPProtocolTCP:
		return p.parseTCP(data, out)
	case layers.IPProtocolUDP:
		return p.parseUDP(data, out)
	}
	return ReasonProtocol
}

const (
	tcpMinHeader = 20
	udpHeader    = 8
)

func (p *Parser) parseTCP(data []byte, out *Packet) error {
	if len(data) < tcpMinHeader {
		return ReasonTruncated
	}
	header := int(data[12]>>4) * 4
	if header < tcpMinHeader || header > len(data) {
		return ReasonBadHeader
	}
	// Decode only the fixed part, as a header without options: the options are
	// not needed, and decoding them allocates.
	copy(p.tcpHeader[:], data)
	p.tcpHeader[12] = tcpMinHeader / 4 << 4
	if err := p.tcp.DecodeFromBytes(p.tcpHeader[:], gopacket.NilDecodeFeedback); err != nil {
		return ReasonBadHeader
	}
	out.Key.Protocol = fleet.ProtocolTCP
	out.Key.SourcePort = fleet.Port(p.tcp.SrcPort)
	out.Key.DestinationPort = fleet.Port(p.tcp.DstPort)
	out.Sequence, out.Acknowledgement = p.tcp.Seq, p.tcp.Ack
	out.PayloadLen = len(data) - header
	out.Flags = flags(&p.tcp)
	return nil
}

func flags(tcp *layers.TCP) Flags {
	var set Flags
	if tcp.FIN {
		set |= FIN
	}
	if tcp.SYN {
		set |= SYN
	}
	if tcp.RST {
		set |= RST
	}
	if tcp.ACK {
		set |= ACK
	}
	return set
}

func (p *Parser) parseUDP(data []byte, out *Packet) error {
	if len(data) < udpHeader {
		return ReasonTruncated
	}
	if length := int(data[4])<<8 | int(data[5]); length != len(data) {
		return ReasonBadHeader
	}
	if err := p.udp.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
		return ReasonBadHeader
	}
	out.Key.Protocol = fleet.ProtocolUDP
	out.Key.SourcePort = fleet.Port(p.udp.SrcPort)
	out.Key.DestinationPort = fleet.Port(p.udp.DstPort)
	out.PayloadLen = len(data) - udpHeader
	return nil
}

// setAddress stores the 16-byte form of ip. An IPv4 address becomes IPv4-mapped.
func setAddress(to *[16]byte, ip net.IP) {
	if len(ip) == net.IPv6len {
		copy(to[:], ip)
		return
	}
	to[10], to[11] = 0xff, 0xff
	copy(to[12:], ip)
}

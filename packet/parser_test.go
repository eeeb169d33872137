package packet_test

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/packet"
)

var (
	caller4  = netip.MustParseAddrPort("192.0.2.7:40000")
	service4 = netip.MustParseAddrPort("198.51.100.1:443")
	caller6  = netip.MustParseAddrPort("[2001:db8::7]:40000")
	service6 = netip.MustParseAddrPort("[2001:db8:1::1]:443")
)

func segment(t testing.TB, s *packet.Segment) []byte {
	t.Helper()
	data, err := packet.AppendTCP(nil, s)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func syn(t testing.TB) []byte {
	return segment(t, &packet.Segment{Source: caller4, Destination: service4, Flags: packet.SYN, Sequence: 99})
}

func syn6(t testing.TB) []byte {
	return segment(t, &packet.Segment{Source: caller6, Destination: service6, Flags: packet.SYN, Sequence: 99})
}

func datagram(t testing.TB) []byte {
	data, err := packet.AppendUDP(nil, &packet.Datagram{Source: caller4, Destination: service4, Payload: []byte("hint")})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestParse(t *testing.T) {
	tests := []struct {
		name     string
		data     []byte
		source   netip.AddrPort
		protocol fleet.Protocol
		flags    packet.Flags
		payload  int
	}{
		{"IPv4 SYN", syn(t), caller4, fleet.ProtocolTCP, packet.SYN, 0},
		{"IPv6 SYN", syn6(t), caller6, fleet.ProtocolTCP, packet.SYN, 0},
		{"data", segment(t, &packet.Segment{
			Source: caller4, Destination: service4, Flags: packet.ACK | packet.FIN, Payload: []byte("log"),
		}), caller4, fleet.ProtocolTCP, packet.ACK | packet.FIN, 3},
		{"UDP", datagram(t), caller4, fleet.ProtocolUDP, 0, 4},
	}
	var parser packet.Parser
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var out packet.Packet
			is.NoErr(parser.Parse(test.data, &out))
			is.Equal(out.Key.SourceAddress(), test.source)
			is.Equal(out.Key.DestinationAddress().Port(), uint16(443))
			is.Equal(out.Key.Protocol, test.protocol)
			is.Equal(out.Flags, test.flags)
			is.Equal(out.PayloadLen, test.payload)
		})
	}
}

func TestParseRefuses(t *testing.T) {
	edit := func(data []byte, at int, value byte) []byte {
		out := append([]byte(nil), data...)
		out[at] = value
		return out
	}
	tests := []struct {
		name string
		data []byte
		want packet.Reason
	}{
		{"empty", nil, packet.ReasonTruncated},
		{"short IPv4 header", syn(t)[:19], packet.ReasonTruncated},
		{"short IPv6 header", syn6(t)[:39], packet.ReasonTruncated},
		{"truncated IPv4 packet", syn(t)[:39], packet.ReasonTruncated},
		{"truncated IPv6 packet", syn6(t)[:59], packet.ReasonTruncated},
		{"version", edit(syn(t), 0, 0x55), packet.ReasonBadVersion},
		{"IPv4 header of 16 bytes", edit(syn(t), 0, 0x44), packet.ReasonBadHeader},
		{"IPv4 header past the end", edit(syn(t), 0, 0x4f), packet.ReasonBadHeader},
		{"TCP header of 16 bytes", edit(syn(t), 32, 0x40), packet.ReasonBadHeader},
		{"TCP header past the end", edit(syn(t), 32, 0xf0), packet.ReasonBadHeader},
		{"UDP length", edit(datagram(t), 25, 9), packet.ReasonBadHeader},
		{"more fragments", edit(syn(t), 6, 0x20), packet.ReasonFragment},
		{"fragment offset", edit(syn(t), 7, 1), packet.ReasonFragment},
		{"IPv6 fragment", edit(syn6(t), 6, 44), packet.ReasonFragment},
		{"trailing bytes", append(syn(t), 0), packet.ReasonOversize},
		{"trailing bytes IPv6", append(syn6(t), 0), packet.ReasonOversize},
		{"longer than MaxInner", make([]byte, packet.MaxInner+1), packet.ReasonOversize},
		{"ICMP", edit(syn(t), 9, 1), packet.ReasonProtocol},
		{"IPv6 in IPv6", edit(syn6(t), 6, 41), packet.ReasonProtocol},
		{"IPv4 TTL of 1", edit(syn(t), 8, 1), packet.ReasonHopLimit},
		{"IPv6 hop limit of 0", edit(syn6(t), 7, 0), packet.ReasonHopLimit},
	}
	var parser packet.Parser
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(parser.Parse(test.data, new(packet.Packet)), error(test.want))
		})
	}
}

func TestParseDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	var parser packet.Parser
	var out packet.Packet
	for _, data := range [][]byte{syn(t), syn6(t), datagram(t), syn(t)[:30]} {
		is.Equal(testing.AllocsPerRun(100, func() { _ = parser.Parse(data, &out) }), 0.0)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(syn(f))
	f.Add(syn6(f))
	f.Add(datagram(f))
	var parser packet.Parser
	f.Fuzz(func(t *testing.T, data []byte) {
		var out packet.Packet
		if parser.Parse(data, &out) != nil {
			return
		}
		if out.PayloadLen < 0 || out.PayloadLen > len(data) {
			t.Fatalf("payload of %d bytes in a packet of %d", out.PayloadLen, len(data))
		}
		reset := packet.AppendReset(nil, &out)
		if len(reset) > 0 && parser.Parse(reset, new(packet.Packet)) != nil {
			t.Fatal("the reset does not parse")
		}
	})
}

func BenchmarkParse(b *testing.B) {
	var parser packet.Parser
	var out packet.Packet
	data := syn(b)
	b.ReportAllocs()
	for b.Loop() {
		_ = parser.Parse(data, &out)
	}
}

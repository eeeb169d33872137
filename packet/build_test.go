package packet_test

import (
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/packet"
)

func TestAppendReset(t *testing.T) {
	tests := []struct {
		name      string
		in        packet.Packet
		flags     packet.Flags
		seq, ack  uint32
		toService bool
	}{
		{"SYN", packet.Packet{Flags: packet.SYN, Sequence: 99}, packet.RST | packet.ACK, 0, 100, false},
		{"SYN wraps", packet.Packet{Flags: packet.SYN, Sequence: 1<<32 - 1}, packet.RST | packet.ACK, 0, 0, false},
		{"SYN with data", packet.Packet{Flags: packet.SYN, Sequence: 99, PayloadLen: 5}, packet.RST | packet.ACK, 0, 105, false},
		{"established", packet.Packet{Flags: packet.ACK, Sequence: 99, Acknowledgement: 7, PayloadLen: 5}, packet.RST, 7, 0, false},
		{"to server", packet.Packet{Flags: packet.ACK, Sequence: 99, Acknowledgement: 7}, packet.RST | packet.ACK, 99, 7, true},
	}
	var parser packet.Parser
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			test.in.Key = flowKey(t)
			build, source := packet.AppendReset, service4
			if test.toService {
				build, source = packet.AppendServerReset, caller4
			}
			var out packet.Packet
			data := build(nil, &test.in)
			is.NoErr(parser.Parse(data, &out))
			is.Equal(out.Key.SourceAddress(), source)
			is.Equal(out.Flags, test.flags)
			is.Equal(out.Sequence, test.seq)
			is.Equal(out.Acknowledgement, test.ack)
			is.True(checksumValid(data))
		})
	}
}

func flowKey(t *testing.T) fleet.FlowKey {
	var parser packet.Parser
	var out packet.Packet
	is.New(t).NoErr(parser.Parse(syn(t), &out))
	return out.Key
}

// checksumValid reports whether the TCP checksum of an inner IPv4 packet is valid.
func checksumValid(data []byte) bool {
	decoded := gopacket.NewPacket(data, layers.LayerTypeIPv4, gopacket.Default)
	tcp := decoded.TransportLayer().(*layers.TCP)
	if tcp.SetNetworkLayerForChecksum(decoded.NetworkLayer()) != nil {
		return false
	}
	err, result := tcp.VerifyChecksum()
	return err == nil && result.Valid
}

func TestNoResetForResetOrUDP(t *testing.T) {
	is := is.New(t)
	is.Equal(len(packet.AppendReset(nil, &packet.Packet{Key: flowKey(t), Flags: packet.RST})), 0)
	is.Equal(len(packet.AppendServerReset(nil, &packet.Packet{Key: flowKey(t), Flags: packet.RST})), 0)
	udp := flowKey(t)
	udp.Protocol = fleet.ProtocolUDP
	is.Equal(len(packet.AppendReset(nil, &packet.Packet{Key: udp})), 0)
}

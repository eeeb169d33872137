package standin_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/standin"
)

func TestFabricSpraysAndForgetsLate(t *testing.T) {
	is := is.New(t)
	now := start
	sent := make(map[netip.AddrPort]int)
	fabric := &standin.Fabric{
		Lag: time.Second,
		Now: func() time.Time { return now },
		Write: func(_ []byte, to netip.AddrPort) error {
			sent[to]++
			return nil
		},
	}
	fabric.Send(nil)
	is.Equal(fabric.Counts().NoHost, uint64(1))
	var addresses [3]netip.AddrPort
	for i := range addresses {
		addresses[i] = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i))
		fabric.Add(fleet.HostID(fmt.Sprint("host-", i)), addresses[i], addresses[i])
	}
	spray := func() map[netip.AddrPort]int {
		clear(sent)
		for range 3000 {
			fabric.Send(nil)
		}
		return sent
	}
	for _, n := range spray() {
		is.True(n > 800 && n < 1200) // about a third each
	}
	fabric.Remove("host-1")
	now = now.Add(time.Second / 2)
	is.True(spray()[addresses[1]] > 0) // before Lag has passed
	now = now.Add(time.Second / 2)
	is.Equal(spray()[addresses[1]], 0)
	address, ok := fabric.RequestAddress()
	is.True(ok && address != addresses[1])
	fabric.Add("host-1", addresses[1], addresses[1])
	is.True(spray()[addresses[1]] > 0)
}

// TestGateway checks over real sockets that an ordinary client gets responses to its
// datagrams.
func TestGateway(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	listen := func(address netip.AddrPort) *net.UDPConn {
		socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		is.NoErr(err)
		return socket
	}
	local := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 0)
	responses := listen(netip.AddrPortFrom(netip.MustParseAddr("127.1.7.7"), 0))
	responsePort := uint16(responses.LocalAddr().(*net.UDPAddr).Port)

	serverSocket := listen(local)
	server := &standin.FlowServer{Name: "live-1", Destination: serviceAddress, AnswerPort: responsePort}
	go func() { _ = server.Run(ctx, serverSocket) }()

	fabric := &standin.Fabric{}
	defer fabric.Close()
	fabric.Add("host", serverSocket.LocalAddr().(*net.UDPAddr).AddrPort(), netip.AddrPort{})
	gateway := &standin.Gateway{Address: netip.MustParseAddr("127.1.7.7"), Destination: serviceAddress, Send: fabric.Send}
	gatewaySocket := listen(local)
	go func() { _ = gateway.Run(ctx, gatewaySocket, responses) }()

	client, err := net.Dial("udp4", gatewaySocket.LocalAddr().String())
	is.NoErr(err)
	defer client.Close()
	for _, message := range []string{"hello", "again"} {
		_, err = client.Write([]byte(message))
		is.NoErr(err)
		buffer := make([]byte, 100)
		n, err := client.Read(buffer)
		is.NoErr(err)
		is.Equal(string(buffer[:n]), "live-1 "+message)
	}
	is.Equal(server.Counts().NewFlows, uint64(1))
}

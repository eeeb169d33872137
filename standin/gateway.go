package standin

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/fleet"
)

// Gateway lets an ordinary UDP client use a flow service: it encapsulates the
// client's datagrams in inner packets for the fabric, and returns the payloads
// of the backend servers' responses. Each client is one flow.
type Gateway struct {
	// Address is the inner source address, at which responses arrive.
	Address     netip.Addr
	Destination netip.AddrPort // of the service
	Send        func(packet []byte)

	mu       sync.Mutex
	ports    map[netip.AddrPort]fleet.Port
	clients  map[fleet.Port]netip.AddrPort
	nextPort fleet.Port
}

const maxGatewayClients = 1000

// Run serves clients on socket and receives responses on responses, until ctx is
// done.
func (g *Gateway) Run(ctx context.Context, socket, responses *net.UDPConn) error {
	stop := context.AfterFunc(ctx, func() {
		_ = socket.Close()
		_ = responses.Close()
	})
	defer stop()
	go g.forwardResponses(socket, responses)
	buffer := make([]byte, maxDatagram)
	for {
		n, client, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "gateway: read from client")
		}
		if packet, ok := g.encapsulate(client, buffer[:n]); ok {
			g.Send(packet)
		}
	}
}

func (g *Gateway) forwardResponses(socket, responses *net.UDPConn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := responses.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		payload, client, ok := g.decapsulate(buffer[:n])
		if ok {
			_, _ = socket.WriteToUDPAddrPort(payload, client)
		}
	}
}

func (g *Gateway) encapsulate(client netip.AddrPort, payload []byte) ([]byte, bool) {
	port, ok := g.clientPort(client)
	if !ok {
		return nil, false
	}
	packet, err := Packet{
		Source:      netip.AddrPortFrom(g.Address, uint16(port)),
		Destination: g.Destination,
		Protocol:    fleet.ProtocolUDP,
		Payload:     payload,
	}.Encode()
	return packet, err == nil
}

func (g *Gateway) decapsulate(data []byte) ([]byte, netip.AddrPort, bool) {
	p, err := DecodePacket(data)
	if err != nil || p.Source != g.Destination || p.Protocol != fleet.ProtocolUDP {
		return nil, netip.AddrPort{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	client, ok := g.clients[fleet.Port(p.Destination.Port())]
	return p.Payload, client, ok
}

func (g *Gateway) clientPort(client netip.AddrPort) (fleet.Port, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if port, ok := g.ports[client]; ok {
		return port, true
	}
	if len(g.ports) >= maxGatewayClients {
		return 0, false
	}
	if g.ports == nil {
		g.ports = make(map[netip.AddrPort]fleet.Port)
		g.clients = make(map[fleet.Port]netip.AddrPort)
		g.nextPort = firstCallerPort
	}
	port := g.nextPort
	g.nextPort++
	g.ports[client] = port
	g.clients[port] = client
	return port, true
}

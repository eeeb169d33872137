package demo

import (
	"io"
	"net"
	"net/netip"

	"github.com/go-faster/errors"
)

// loopback is the address on which everything except the callers listens.
var loopback = netip.MustParseAddr("127.0.0.1")

const portAttempts = 20

// portAllocator allocates free ports on loopback. It keeps each port bound until
// release, so that no port is allocated twice.
type portAllocator struct {
	reserved []io.Closer
}

// allocateTCP allocates a free TCP port.
func (p *portAllocator) allocateTCP() (netip.AddrPort, error) {
	listener, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(netip.AddrPortFrom(loopback, 0)))
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "allocate a TCP port")
	}
	p.reserved = append(p.reserved, listener)
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// allocateUDP allocates a free UDP port.
func (p *portAllocator) allocateUDP() (netip.AddrPort, error) {
	socket, err := listenUDP(netip.AddrPortFrom(loopback, 0))
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "allocate a UDP port")
	}
	p.reserved = append(p.reserved, socket)
	return socket.LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

// allocateBoth allocates a port that is free for both TCP and UDP.
func (p *portAllocator) allocateBoth() (netip.AddrPort, error) {
	var lastErr error
	for range portAttempts {
		address, err := p.allocateTCP()
		if err != nil {
			return netip.AddrPort{}, err
		}
		socket, err := listenUDP(address)
		if err == nil {
			p.reserved = append(p.reserved, socket)
			return address, nil
		}
		lastErr = err
	}
	return netip.AddrPort{}, errors.Wrap(lastErr, "allocate a port for TCP and UDP")
}

// release unbinds the ports so that their users can bind them.
func (p *portAllocator) release() {
	for _, closer := range p.reserved {
		_ = closer.Close()
	}
	p.reserved = nil
}

// callerNetworks is the number of networks 127.1.x.0/24 that are searched for free
// caller addresses.
const callerNetworks = 250

// listenCallers opens a socket on the answer port at n caller addresses of one
// free network. The addresses need no configuration, since all of 127.0.0.0/8 is
// loopback.
func listenCallers(n int, answerPort uint16) ([]*net.UDPConn, error) {
	var lastErr error
	for network := range byte(callerNetworks) {
		sockets, err := listenNetwork(network, n, answerPort)
		if err == nil {
			return sockets, nil
		}
		lastErr = err
	}
	return nil, errors.Wrap(lastErr, "find free caller addresses")
}

func listenNetwork(network byte, n int, answerPort uint16) ([]*net.UDPConn, error) {
	var sockets []*net.UDPConn
	for i := range n {
		address := netip.AddrFrom4([4]byte{127, 1, network, byte(i + 1)})
		socket, err := listenUDP(netip.AddrPortFrom(address, answerPort))
		if err != nil {
			for _, opened := range sockets {
				_ = opened.Close()
			}
			return nil, err
		}
		sockets = append(sockets, socket)
	}
	return sockets, nil
}

func listenUDP(address netip.AddrPort) (*net.UDPConn, error) {
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
}

func addressOf(socket *net.UDPConn) netip.Addr {
	return socket.LocalAddr().(*net.UDPAddr).AddrPort().Addr().Unmap()
}

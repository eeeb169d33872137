package trial

import (
	"io"
	"net"
	"net/netip"

	"github.com/go-faster/errors"
)

// loopback is where everything but the callers listens.
var loopback = netip.MustParseAddr("127.0.0.1")

const portAttempts = 20

// ports chooses free ports on loopback. It holds each chosen port until
// release, so that none is chosen twice.
type ports struct {
	held []io.Closer
}

// tcp chooses a port that is free for TCP.
func (p *ports) tcp() (netip.AddrPort, error) {
	listener, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(netip.AddrPortFrom(loopback, 0)))
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "choose a TCP port")
	}
	p.held = append(p.held, listener)
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// udp chooses a port that is free for UDP.
func (p *ports) udp() (netip.AddrPort, error) {
	socket, err := listenUDP(netip.AddrPortFrom(loopback, 0))
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "choose a UDP port")
	}
	p.held = append(p.held, socket)
	return socket.LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

// both chooses a port that is free for TCP and for UDP.
func (p *ports) both() (netip.AddrPort, error) {
	var last error
	for range portAttempts {
		address, err := p.tcp()
		if err != nil {
			return netip.AddrPort{}, err
		}
		socket, err := listenUDP(address)
		if err == nil {
			p.held = append(p.held, socket)
			return address, nil
		}
		last = err
	}
	return netip.AddrPort{}, errors.Wrap(last, "choose a port for TCP and UDP")
}

// release frees the ports for those who are to use them.
func (p *ports) release() {
	for _, held := range p.held {
		_ = held.Close()
	}
	p.held = nil
}

// callerNetworks bounds the search for free caller addresses, 127.1.x.0/24.
const callerNetworks = 250

// listenCallers opens a socket on the answer port at n caller addresses of one
// free network. Caller addresses need no set-up: all of 127.0.0.0/8 is loopback.
func listenCallers(n int, answerPort uint16) ([]*net.UDPConn, error) {
	var last error
	for network := range byte(callerNetworks) {
		sockets, err := listenNetwork(network, n, answerPort)
		if err == nil {
			return sockets, nil
		}
		last = err
	}
	return nil, errors.Wrap(last, "find free caller addresses")
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

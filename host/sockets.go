package host

import (
	"net"
	"net/netip"
	"sync"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/settings"
)

// receiveBufferBytes is the size of the kernel's receive buffer of a UDP socket.
const receiveBufferBytes = 4 << 20

// sockets holds the listening sockets of a host. They stay open when the components
// that use them restart.
type sockets struct {
	packet    *net.UDPConn
	handoff   *net.UDPConn
	heartbeat *net.UDPConn
	peer      net.Listener
	request   net.Listener
	admin     net.Listener

	once sync.Once
}

func openSockets(l settings.Listen) (*sockets, error) {
	s := new(sockets)
	if err := s.open(l); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *sockets) open(l settings.Listen) (err error) {
	if s.packet, err = openUDP("packet", l.Packet); err != nil {
		return err
	}
	if s.handoff, err = openUDP("handoff", l.Handoff); err != nil {
		return err
	}
	if s.heartbeat, err = openUDP("peer", l.Peer); err != nil {
		return err
	}
	if s.peer, err = openTCP("peer", l.Peer); err != nil {
		return err
	}
	if s.request, err = openTCP("request", l.Request); err != nil {
		return err
	}
	s.admin, err = openTCP("admin", l.Admin)
	return err
}

func openUDP(name string, address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrapf(err, "open %s socket on udp %s", name, address)
	}
	// The kernel may grant less, in which case a smaller burst overflows the buffer.
	_ = conn.SetReadBuffer(receiveBufferBytes)
	return conn, nil
}

func openTCP(name string, address netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "open %s socket on tcp %s", name, address)
	}
	return listener, nil
}

// close closes every open socket. It may be called more than once.
func (s *sockets) close() {
	s.once.Do(func() {
		for _, c := range []*net.UDPConn{s.packet, s.handoff, s.heartbeat} {
			if c != nil {
				_ = c.Close()
			}
		}
		for _, l := range []net.Listener{s.peer, s.request, s.admin} {
			if l != nil {
				_ = l.Close()
			}
		}
	})
}

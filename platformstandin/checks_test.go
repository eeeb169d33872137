package platformstandin_test

import (
	"encoding/binary"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/forwarding"
	"github.com/rattanthread/rattanthread/platform"
	"github.com/rattanthread/rattanthread/platformstandin"
)

// rogue is an entry host that breaks one rule.
type rogue struct {
	site  *platformstandin.Site
	node  *platformstandin.Node
	store platform.Store
	act   func(r *rogue, p forwarding.Packet, datagram []byte, servers []*catalogue.Server)
}

// deliver acts on a packet with all servers of the store at hand.
func (r *rogue) deliver(t *testing.T, packet []byte) {
	p, err := platform.ParsePacket(packet)
	if err != nil {
		t.Error(err)
		return
	}
	go func() {
		answer, _, err := r.store.Page(t.Context(), catalogue.Servers, "", platform.Linearizable)
		if err != nil {
			return
		}
		var servers []*catalogue.Server
		for _, record := range answer.Records {
			servers = append(servers, record.Server)
		}
		r.act(r, p, append(make([]byte, platform.TagBytes), packet...), servers)
	}()
}

// send sends a packet on to a server.
func (r *rogue) send(datagram []byte, server *catalogue.Server) {
	platform.PutTagAndCookie(datagram, server.Tag, catalogue.CookieOf(server.ID))
	r.site.Sent(r.node.Zone, datagram, server.Address)
}

// reset resets the flow of a packet.
func (r *rogue) reset(p forwarding.Packet) {
	r.site.Sent(r.node.Zone, platform.AppendReset(nil, p), netip.AddrPortFrom(p.Source.Addr(), 8172))
}

// byCookie returns the server of a flow, or the first one of the right service
// for a new flow.
func byCookie(p forwarding.Packet, servers []*catalogue.Server) *catalogue.Server {
	service := "press"
	if p.Destination.Addr() == netip.MustParseAddr("198.18.0.1") {
		service = "bench"
	}
	for _, server := range servers {
		if p.Kind != forwarding.Opening && catalogue.CookieOf(server.ID) == p.Cookie {
			return server
		}
	}
	for _, server := range servers {
		if p.Kind == forwarding.Opening && string(server.Service) == service {
			return server
		}
	}
	return nil
}

// TestOldCopiesRunNothing lets a host deliver each packet a second time, 1.5 s
// late, as one does that was paused.
func TestOldCopiesRunNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		report := playRogue(t, "none", func(r *rogue, p forwarding.Packet, datagram []byte, servers []*catalogue.Server) {
			server := byCookie(p, servers)
			if server == nil {
				return
			}
			r.send(append([]byte(nil), datagram...), server)
			if p.Kind == forwarding.Segment {
				time.AfterFunc(1500*time.Millisecond, func() { r.send(datagram, server) })
			}
		})
		is.Equal(len(report.Broken), 0)
		is.True(report.Served() > 0.9)
	})
}

// playRogue plays a small site with hosts that act on their own.
func playRogue(t *testing.T, name string, act func(*rogue, forwarding.Packet, []byte, []*catalogue.Server)) *platformstandin.Report {
	t.Helper()
	trouble, ok := platformstandin.FindTrouble(name)
	if !ok {
		t.Fatalf("no trouble %s", name)
	}
	site := &platformstandin.Site{Zones: []string{"a", "b"}, HostsPerZone: 1, TargetsPerZone: 2, ClientsPerZone: 4, Seed: 1}
	site.Launch = func(node *platformstandin.Node) *platformstandin.Run {
		r := &rogue{site: site, node: node, act: act, store: platform.Store{
			Address: func() string { return "store" },
			HTTP:    &http.Client{Transport: site.Store.Transport(node.Name)},
		}}
		return &platformstandin.Run{
			Deliver: func(packet []byte) { r.deliver(t, packet) },
			Ready:   func() bool { return true }, Dead: func() bool { return false }, Stop: func() {}, Kill: func() {},
		}
	}
	return site.Run(12*time.Second, trouble)
}

// TestChecksCanFail runs hosts that break a rule and demands that it is noticed.
func TestChecksCanFail(t *testing.T) {
	tests := []struct {
		rule, trouble string
		act           func(r *rogue, p forwarding.Packet, datagram []byte, servers []*catalogue.Server)
	}{
		{"ROUTE", "none", func(r *rogue, p forwarding.Packet, datagram []byte, servers []*catalogue.Server) {
			r.send(datagram, servers[int(p.Seq)%len(servers)])
		}},
		{"FLOW: a packet", "none", func(r *rogue, p forwarding.Packet, datagram []byte, servers []*catalogue.Server) {
			own := byCookie(p, servers)
			for _, other := range servers {
				if own != nil && p.Length > 0 && other != own {
					own = other
					break
				}
			}
			if own != nil {
				r.send(datagram, own)
			}
		}},
		{"was reset", "none", func(r *rogue, p forwarding.Packet, datagram []byte, servers []*catalogue.Server) {
			if server := byCookie(p, servers); server != nil {
				r.send(datagram, server)
			}
			if p.Length > 0 && p.Seq%5 == 0 {
				r.reset(p)
			}
		}},
		{"DRAIN", "drain", func(r *rogue, p forwarding.Packet, datagram []byte, servers []*catalogue.Server) {
			if server := byCookie(p, servers); server != nil {
				r.send(datagram, server) // draining or not
			}
		}},
		{"EVAC", "evacuate", func(r *rogue, p forwarding.Packet, datagram []byte, servers []*catalogue.Server) {
			server := byCookie(p, servers)
			for _, other := range servers {
				if p.Kind == forwarding.Opening && other.Service == server.Service {
					server = other // the last one, in the data centre that is taken out
				}
			}
			if server != nil {
				r.send(datagram, server)
			}
		}},
		{"FAILBACK", "return_cold", func(r *rogue, p forwarding.Packet, datagram []byte, servers []*catalogue.Server) {
			if server := byCookie(p, servers); server != nil {
				r.send(datagram, server) // cold or not
			}
		}},
		{"CONFIG", "configure", func(r *rogue, p forwarding.Packet, datagram []byte, servers []*catalogue.Server) {
			if server := byCookie(p, servers); server != nil {
				r.send(datagram, server) // by whatever configuration
			}
		}},
		{"UNASKED", "none", func(r *rogue, p forwarding.Packet, datagram []byte, servers []*catalogue.Server) {
			server := byCookie(p, servers)
			if server == nil {
				return
			}
			if p.Length > 0 {
				binary.BigEndian.PutUint64(datagram[platform.TagBytes+platform.HeaderBytes:], 1<<60)
			}
			r.send(datagram, server)
		}},
		{"ran twice", "none", func(r *rogue, p forwarding.Packet, datagram []byte, servers []*catalogue.Server) {
			if server := byCookie(p, servers); server != nil {
				r.send(datagram, server)
			}
			if p.Length > 0 { // the same request on another flow
				binary.BigEndian.PutUint16(datagram[platform.TagBytes+8:], p.Source.Port()+20000)
				opening := append([]byte(nil), datagram...)
				opening[platform.TagBytes+30] = 8
				binary.BigEndian.PutUint32(opening[platform.TagBytes+18:], p.Seq-1)
				r.send(opening, servers[0])
				r.send(datagram, servers[0])
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.rule, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				report := playRogue(t, test.trouble, test.act)
				is.True(strings.Contains(strings.Join(report.Broken, "\n"), test.rule)) // the rule is noticed as broken
			})
		})
	}
}

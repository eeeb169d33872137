package peer_test

import (
	"context"
	"net"
	"net/netip"
	"reflect"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/peer"
)

var (
	key  = []byte("0123456789abcdef0123456789abcdef")
	noon = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)
)

type note struct {
	Text string `cbor:"text"`
}

func (*note) Kind() fleet.MessageKind { return "test_note" }

type beat struct {
	Text string `cbor:"text"`
}

func (*beat) Kind() fleet.MessageKind { return "membership_beat" }

type arrival struct {
	from    fleet.HostID
	message fleet.Message
}

// running is a hub that serves on loopback.
type running struct {
	*peer.Hub
	registry *prometheus.Registry
	arrivals chan arrival
	stop     func()
}

func registry() *peer.Registry {
	r := new(peer.Registry)
	r.Add(&note{}, &beat{})
	return r
}

// serve starts a hub on free ports of loopback, which are entered in book.
func serve(t *testing.T, id fleet.HostID, book map[fleet.HostID]netip.AddrPort, limits peer.Limits) *running {
	t.Helper()
	listener, datagrams := listen(t)
	address := netip.MustParseAddrPort(listener.Addr().String())
	book[id] = address
	r := &running{registry: prometheus.NewRegistry(), arrivals: make(chan arrival, 1000)}
	r.Hub = &peer.Hub{
		Self: fleet.Host{ID: id, Incarnation: 5, PeerAddress: address},
		Key:  key, Limits: limits, Registerer: r.registry, Registry: registry(),
		Listener: listener, Datagrams: datagrams,
		Now:     func() time.Time { return noon },
		Deliver: func(from fleet.HostID, m fleet.Message) { r.arrivals <- arrival{from, m} },
		Address: func(id fleet.HostID) (netip.AddrPort, bool) {
			a, ok := book[id]
			return a, ok
		},
	}
	r.start()
	t.Cleanup(func() { r.stop() })
	return r
}

// listen returns sockets on one port number that is free for both protocols.
func listen(t *testing.T) (net.Listener, net.PacketConn) {
	t.Helper()
	for {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		datagrams, err := net.ListenPacket("udp", listener.Addr().String())
		if err == nil {
			return listener, datagrams
		}
		_ = listener.Close()
	}
}

func (r *running) start() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- r.Serve(ctx) }()
	r.stop = func() {
		cancel()
		<-done
		r.stop = func() {}
	}
}

// count returns the value of a counter, such as refused{replayed}.
func (r *running) count(name, label string) float64 {
	families, _ := r.registry.Gather()
	for _, f := range families {
		if f.GetName() != "rattanthread_peer_"+name {
			continue
		}
		for _, m := range f.GetMetric() {
			if len(m.GetLabel()) == 0 || m.GetLabel()[0].GetValue() == label {
				return m.GetCounter().GetValue()
			}
		}
	}
	return 0
}

// exchange sends a message once the sending hub serves, and returns what arrives.
func exchange(from, to *running, m fleet.Message) arrival {
	for {
		closed := from.count("dropped_total", "closed")
		from.Send(fleet.Send{To: to.Self.ID, Message: m})
		if from.count("dropped_total", "closed") == closed {
			return <-to.arrivals
		}
	}
}

// insist sends until a message arrives.
func insist(from, to *running, m fleet.Message) arrival {
	for {
		from.Send(fleet.Send{To: to.Self.ID, Message: m})
		select {
		case a := <-to.arrivals:
			return a
		default:
			runtime.Gosched()
		}
	}
}

func TestMessagesTravelBothPaths(t *testing.T) {
	is := is.New(t)
	book := map[fleet.HostID]netip.AddrPort{}
	a, b := serve(t, "a", book, peer.Limits{}), serve(t, "b", book, peer.Limits{})

	long := strings.Repeat("x", 500_000)
	is.True(reflect.DeepEqual(exchange(a, b, &note{long}), arrival{"a", &note{long}}))
	is.True(reflect.DeepEqual(exchange(a, b, &beat{"short"}), arrival{"a", &beat{"short"}}))
	is.True(reflect.DeepEqual(exchange(a, b, &beat{long}), arrival{"a", &beat{long}}))
	is.Equal(a.count("sent_total", "datagram"), 1.0)
	is.True(a.count("sent_total", "link") >= 2)
}

func TestReconnectAfterPeerRestart(t *testing.T) {
	is := is.New(t)
	book := map[fleet.HostID]netip.AddrPort{}
	limits := peer.Limits{BackoffMin: time.Millisecond, BackoffMax: time.Millisecond}
	a, b := serve(t, "a", book, limits), serve(t, "b", book, limits)
	exchange(a, b, &note{"first"})
	b.stop()
	for a.count("dropped_total", "dial_failed") == 0 {
		a.Send(fleet.Send{To: "b", Message: &note{"nobody listens"}})
		runtime.Gosched()
	}
	b.start()
	is.Equal(insist(a, b, &note{"second"}).from, fleet.HostID("a"))
	is.True(a.count("reconnects_total", "") > 0)
}

// TestIdleLinkEnds has a link closed and opened again, which dials once more.
func TestIdleLinkEnds(t *testing.T) {
	is := is.New(t)
	book := map[fleet.HostID]netip.AddrPort{}
	a, b := serve(t, "a", book, peer.Limits{Idle: time.Nanosecond}), serve(t, "b", book, peer.Limits{})
	address := a.Address
	var dials atomic.Int32
	a.Address = func(id fleet.HostID) (netip.AddrPort, bool) {
		dials.Add(1)
		return address(id)
	}
	for dials.Load() < 3 {
		is.Equal(exchange(a, b, &note{"x"}).from, fleet.HostID("a"))
	}
}

func TestSendNeverBlocks(t *testing.T) {
	is := is.New(t)
	book := map[fleet.HostID]netip.AddrPort{}
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts, and never answers
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	book["silent"] = netip.MustParseAddrPort(silent.Addr().String())
	a, b := serve(t, "a", book, peer.Limits{QueuedMessages: 4}), serve(t, "b", book, peer.Limits{})
	exchange(a, b, &note{"ready"})
	for range 20 {
		a.Send(fleet.Send{To: "silent", Message: &note{"x"}})
	}

	is.True(a.count("dropped_total", "queue_full") >= 15)
	a.Send(fleet.Send{To: "b", Message: &note{strings.Repeat("x", 1<<20)}})
	is.Equal(a.count("dropped_total", "too_long"), 1.0)
	a.Send(fleet.Send{To: "nobody", Message: &beat{"x"}})
	is.Equal(a.count("dropped_total", "no_address"), 1.0)
	is.Equal(exchange(a, b, &note{"still served"}).from, fleet.HostID("a"))
}

// envelope returns a sealed envelope that b accepts, but for what change does.
func envelope(t *testing.T, change func(*peer.Envelope)) []byte {
	t.Helper()
	body, err := peer.EncodeBody(&beat{"x"})
	is.New(t).NoErr(err)
	e := &peer.Envelope{
		Version: peer.Version, Path: peer.PathDatagram,
		From: "a", Incarnation: 5, To: "b", Sequence: 2000, Sent: noon.UnixMilli(),
		Kind: "membership_beat", Body: body,
	}
	change(e)
	sealed, err := peer.Seal(key, e)
	is.New(t).NoErr(err)
	return sealed
}

func TestRefusals(t *testing.T) {
	other := []byte("another key of at least 16 bytes")
	cases := []struct {
		reason   peer.Reason
		datagram func(valid []byte) []byte
	}{
		{peer.ReasonMalformed, func([]byte) []byte { return []byte{1} }},
		{peer.ReasonMalformed, func([]byte) []byte { return peer.Tagged(key, []byte{0xff, 0x00}) }},
		{peer.ReasonUnauthenticated, func(valid []byte) []byte { valid[len(valid)-1] ^= 1; return valid }},
		{peer.ReasonUnauthenticated, func([]byte) []byte { s, _ := peer.Seal(other, &peer.Envelope{From: "a", To: "b"}); return s }},
		{peer.ReasonOversize, func(valid []byte) []byte { return append(valid, make([]byte, 1200)...) }},
		{peer.ReasonVersion, change(t, func(e *peer.Envelope) { e.Version = 9 })},
		{peer.ReasonWrongRecipient, change(t, func(e *peer.Envelope) { e.To = "c" })},
		{peer.ReasonWrongRecipient, change(t, func(e *peer.Envelope) { e.From = "b" })},
		{peer.ReasonWrongPath, change(t, func(e *peer.Envelope) { e.Path = peer.PathLink })},
		{peer.ReasonTooOld, change(t, func(e *peer.Envelope) { e.Sent -= 31_000 })},
		{peer.ReasonTooOld, change(t, func(e *peer.Envelope) { e.Sent += 31_000 })},
		{peer.ReasonIncarnation, change(t, func(e *peer.Envelope) { e.Incarnation = 4 })},
		{peer.ReasonReplayed, change(t, func(e *peer.Envelope) { e.Sequence = 2000 })},
		{peer.ReasonReplayed, change(t, func(e *peer.Envelope) { e.Sequence = 2000 - 1024 })},
		{peer.ReasonReplayed, change(t, func(e *peer.Envelope) { e.Sequence = 0 })},
		{peer.ReasonUnknownKind, change(t, func(e *peer.Envelope) { e.Kind = "test_unknown" })},
		{peer.ReasonMalformed, change(t, func(e *peer.Envelope) { e.Body = []byte{0x81, 0x01} })},
	}
	for i, c := range cases {
		is := is.New(t)
		book := map[fleet.HostID]netip.AddrPort{}
		b := serve(t, "b", book, peer.Limits{})
		socket, err := net.Dial("udp", book["b"].String())
		is.NoErr(err)
		write := func(datagram []byte) {
			_, err := socket.Write(datagram)
			is.NoErr(err)
		}
		write(envelope(t, func(*peer.Envelope) {}))
		<-b.arrivals
		write(c.datagram(envelope(t, func(e *peer.Envelope) { e.Sequence = 2001 })))
		// Loopback keeps the order, so the last arrives after the refused one.
		write(envelope(t, func(e *peer.Envelope) { e.Sequence = 2002 }))
		<-b.arrivals
		if got := b.count("refused_total", string(c.reason)); got != 1 {
			t.Errorf("case %d: %s counted %v times", i, c.reason, got)
		}
		is.Equal(len(b.arrivals), 0)
		b.stop()
		_ = socket.Close()
	}
}

func change(t *testing.T, f func(*peer.Envelope)) func([]byte) []byte {
	return func([]byte) []byte {
		return envelope(t, func(e *peer.Envelope) { e.Sequence = 2001; f(e) })
	}
}

func TestLinkEndsOnRefusal(t *testing.T) {
	for _, b := range [][]byte{[]byte("no envelope at all, and no tag"), make([]byte, 1<<20+2)} {
		is := is.New(t)
		book := map[fleet.HostID]netip.AddrPort{}
		serve(t, "b", book, peer.Limits{})
		ctx := context.Background()
		conn, _, err := websocket.Dial(ctx, "ws://"+book["b"].String()+"/peer", nil)
		is.NoErr(err)
		_ = conn.Write(ctx, websocket.MessageBinary, b)
		_, _, err = conn.Read(ctx)
		is.True(err != nil) // closed by the host
	}
}

func TestShortKeyIsRefused(t *testing.T) {
	h := &peer.Hub{Key: []byte("short")}
	is.New(t).True(h.Serve(context.Background()) != nil)
}

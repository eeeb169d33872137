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
	key      = []byte("0123456789abcdef0123456789abcdef")
	testTime = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)
)

type testMessage struct {
	Text string `cbor:"text"`
}

func (*testMessage) Kind() fleet.MessageKind { return "test_note" }

type testHeartbeat struct {
	Text string `cbor:"text"`
}

func (*testHeartbeat) Kind() fleet.MessageKind { return "membership_beat" }

type receivedMessage struct {
	from    fleet.HostID
	message fleet.Message
}

// testHub is a hub that serves on the loopback interface.
type testHub struct {
	*peer.Hub
	registry *prometheus.Registry
	received chan receivedMessage
	stop     func()
}

func newRegistry() *peer.Registry {
	r := new(peer.Registry)
	r.Add(&testMessage{}, &testHeartbeat{})
	return r
}

// startHub starts a hub on a free loopback port and adds its address to addresses.
func startHub(t *testing.T, id fleet.HostID, addresses map[fleet.HostID]netip.AddrPort, limits peer.Limits) *testHub {
	t.Helper()
	listener, datagrams := listenTCPAndUDP(t)
	address := netip.MustParseAddrPort(listener.Addr().String())
	addresses[id] = address
	hub := &testHub{registry: prometheus.NewRegistry(), received: make(chan receivedMessage, 1000)}
	hub.Hub = &peer.Hub{
		Self: fleet.Host{ID: id, Incarnation: 5, PeerAddress: address},
		Key:  key, Limits: limits, Registerer: hub.registry, Registry: newRegistry(),
		Listener: listener, Datagrams: datagrams,
		Now:     func() time.Time { return testTime },
		Deliver: func(from fleet.HostID, m fleet.Message) { hub.received <- receivedMessage{from, m} },
		Address: func(id fleet.HostID) (netip.AddrPort, bool) {
			a, ok := addresses[id]
			return a, ok
		},
	}
	hub.start()
	t.Cleanup(func() { hub.stop() })
	return hub
}

// listenTCPAndUDP returns sockets on one port number that is free for both protocols.
func listenTCPAndUDP(t *testing.T) (net.Listener, net.PacketConn) {
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

func (h *testHub) start() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- h.Serve(ctx) }()
	h.stop = func() {
		cancel()
		<-done
		h.stop = func() {}
	}
}

// counter returns the value of a metric with the given first label value.
func (h *testHub) counter(name, label string) float64 {
	families, _ := h.registry.Gather()
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

// sendAndReceive sends a message once the sending hub serves, and returns the next
// message that the other hub receives.
func sendAndReceive(from, to *testHub, m fleet.Message) receivedMessage {
	for {
		closed := from.counter("dropped_total", "closed")
		from.Send(fleet.Send{To: to.Self.ID, Message: m})
		if from.counter("dropped_total", "closed") == closed {
			return <-to.received
		}
	}
}

// sendUntilReceived repeats a message until the other hub receives one.
func sendUntilReceived(from, to *testHub, m fleet.Message) receivedMessage {
	for {
		from.Send(fleet.Send{To: to.Self.ID, Message: m})
		select {
		case a := <-to.received:
			return a
		default:
			runtime.Gosched()
		}
	}
}

func TestMessagesTravelBothPaths(t *testing.T) {
	is := is.New(t)
	addresses := map[fleet.HostID]netip.AddrPort{}
	hubA, hubB := startHub(t, "a", addresses, peer.Limits{}), startHub(t, "b", addresses, peer.Limits{})

	long := strings.Repeat("x", 500_000)
	is.True(reflect.DeepEqual(sendAndReceive(hubA, hubB, &testMessage{long}), receivedMessage{"a", &testMessage{long}}))
	is.True(reflect.DeepEqual(sendAndReceive(hubA, hubB, &testHeartbeat{"short"}), receivedMessage{"a", &testHeartbeat{"short"}}))
	is.True(reflect.DeepEqual(sendAndReceive(hubA, hubB, &testHeartbeat{long}), receivedMessage{"a", &testHeartbeat{long}}))
	is.Equal(hubA.counter("sent_total", "datagram"), 1.0)
	is.True(hubA.counter("sent_total", "link") >= 2)
}

func TestReconnectAfterPeerRestart(t *testing.T) {
	is := is.New(t)
	addresses := map[fleet.HostID]netip.AddrPort{}
	limits := peer.Limits{BackoffMin: time.Millisecond, BackoffMax: time.Millisecond}
	hubA, hubB := startHub(t, "a", addresses, limits), startHub(t, "b", addresses, limits)
	sendAndReceive(hubA, hubB, &testMessage{"first"})
	hubB.stop()
	for hubA.counter("dropped_total", "dial_failed") == 0 {
		hubA.Send(fleet.Send{To: "b", Message: &testMessage{"peer is down"}})
		runtime.Gosched()
	}
	hubB.start()
	is.Equal(sendUntilReceived(hubA, hubB, &testMessage{"second"}).from, fleet.HostID("a"))
	is.True(hubA.counter("reconnects_total", "") > 0)
}

// TestIdleLinkEnds checks that an idle link is closed and that the next message
// dials again.
func TestIdleLinkEnds(t *testing.T) {
	is := is.New(t)
	addresses := map[fleet.HostID]netip.AddrPort{}
	hubA, hubB := startHub(t, "a", addresses, peer.Limits{IdleTimeout: time.Nanosecond}), startHub(t, "b", addresses, peer.Limits{})
	address := hubA.Address
	var dials atomic.Int32
	hubA.Address = func(id fleet.HostID) (netip.AddrPort, bool) {
		dials.Add(1)
		return address(id)
	}
	for dials.Load() < 3 {
		is.Equal(sendAndReceive(hubA, hubB, &testMessage{"x"}).from, fleet.HostID("a"))
	}
}

func TestSendNeverBlocks(t *testing.T) {
	is := is.New(t)
	addresses := map[fleet.HostID]netip.AddrPort{}
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections but never responds
	is.NoErr(err)
	defer func() { _ = unresponsive.Close() }()
	addresses["unresponsive"] = netip.MustParseAddrPort(unresponsive.Addr().String())
	hubA, hubB := startHub(t, "a", addresses, peer.Limits{QueuedMessages: 4}), startHub(t, "b", addresses, peer.Limits{})
	sendAndReceive(hubA, hubB, &testMessage{"ready"})
	for range 20 {
		hubA.Send(fleet.Send{To: "unresponsive", Message: &testMessage{"x"}})
	}

	is.True(hubA.counter("dropped_total", "queue_full") >= 15)
	hubA.Send(fleet.Send{To: "b", Message: &testMessage{strings.Repeat("x", 1<<20)}})
	is.Equal(hubA.counter("dropped_total", "too_long"), 1.0)
	hubA.Send(fleet.Send{To: "unknown", Message: &testHeartbeat{"x"}})
	is.Equal(hubA.counter("dropped_total", "no_address"), 1.0)
	is.Equal(sendAndReceive(hubA, hubB, &testMessage{"still sending"}).from, fleet.HostID("a"))
}

// sealedEnvelope returns a sealed envelope that host b accepts unless change prevents it.
func sealedEnvelope(t *testing.T, change func(*peer.Envelope)) []byte {
	t.Helper()
	body, err := peer.EncodeBody(&testHeartbeat{"x"})
	is.New(t).NoErr(err)
	e := &peer.Envelope{
		Version: peer.Version, Path: peer.PathDatagram,
		From: "a", Incarnation: 5, To: "b", Sequence: 2000, Sent: testTime.UnixMilli(),
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
		{peer.ReasonMalformed, func([]byte) []byte { return peer.PrependTag(key, []byte{0xff, 0x00}) }},
		{peer.ReasonUnauthenticated, func(valid []byte) []byte { valid[len(valid)-1] ^= 1; return valid }},
		{peer.ReasonUnauthenticated, func([]byte) []byte { s, _ := peer.Seal(other, &peer.Envelope{From: "a", To: "b"}); return s }},
		{peer.ReasonOversize, func(valid []byte) []byte { return append(valid, make([]byte, 1200)...) }},
		{peer.ReasonVersion, withChange(t, func(e *peer.Envelope) { e.Version = 9 })},
		{peer.ReasonWrongRecipient, withChange(t, func(e *peer.Envelope) { e.To = "c" })},
		{peer.ReasonWrongRecipient, withChange(t, func(e *peer.Envelope) { e.From = "b" })},
		{peer.ReasonWrongPath, withChange(t, func(e *peer.Envelope) { e.Path = peer.PathLink })},
		{peer.ReasonTooOld, withChange(t, func(e *peer.Envelope) { e.Sent -= 31_000 })},
		{peer.ReasonTooOld, withChange(t, func(e *peer.Envelope) { e.Sent += 31_000 })},
		{peer.ReasonIncarnation, withChange(t, func(e *peer.Envelope) { e.Incarnation = 4 })},
		{peer.ReasonReplayed, withChange(t, func(e *peer.Envelope) { e.Sequence = 2000 })},
		{peer.ReasonReplayed, withChange(t, func(e *peer.Envelope) { e.Sequence = 2000 - 1024 })},
		{peer.ReasonReplayed, withChange(t, func(e *peer.Envelope) { e.Sequence = 0 })},
		{peer.ReasonUnknownKind, withChange(t, func(e *peer.Envelope) { e.Kind = "test_unknown" })},
		{peer.ReasonMalformed, withChange(t, func(e *peer.Envelope) { e.Body = []byte{0x81, 0x01} })},
	}
	for i, test := range cases {
		is := is.New(t)
		addresses := map[fleet.HostID]netip.AddrPort{}
		hubB := startHub(t, "b", addresses, peer.Limits{})
		socket, err := net.Dial("udp", addresses["b"].String())
		is.NoErr(err)
		write := func(datagram []byte) {
			_, err := socket.Write(datagram)
			is.NoErr(err)
		}
		write(sealedEnvelope(t, func(*peer.Envelope) {}))
		<-hubB.received
		write(test.datagram(sealedEnvelope(t, func(e *peer.Envelope) { e.Sequence = 2001 })))
		// The loopback interface preserves the order, so the hub handles the refused
		// datagram before this one.
		write(sealedEnvelope(t, func(e *peer.Envelope) { e.Sequence = 2002 }))
		<-hubB.received
		if got := hubB.counter("refused_total", string(test.reason)); got != 1 {
			t.Errorf("case %d: refused_total{reason=%q} = %v, want 1", i, test.reason, got)
		}
		is.Equal(len(hubB.received), 0)
		hubB.stop()
		_ = socket.Close()
	}
}

func withChange(t *testing.T, change func(*peer.Envelope)) func([]byte) []byte {
	return func([]byte) []byte {
		return sealedEnvelope(t, func(e *peer.Envelope) { e.Sequence = 2001; change(e) })
	}
}

func TestLinkEndsOnRefusal(t *testing.T) {
	for _, data := range [][]byte{[]byte("no envelope at all, and no tag"), make([]byte, 1<<20+2)} {
		is := is.New(t)
		addresses := map[fleet.HostID]netip.AddrPort{}
		startHub(t, "b", addresses, peer.Limits{})
		ctx := context.Background()
		conn, _, err := websocket.Dial(ctx, "ws://"+addresses["b"].String()+"/peer", nil)
		is.NoErr(err)
		_ = conn.Write(ctx, websocket.MessageBinary, data)
		_, _, err = conn.Read(ctx)
		is.True(err != nil) // closed by the hub
	}
}

func TestShortKeyIsRefused(t *testing.T) {
	h := &peer.Hub{Key: []byte("short")}
	is.New(t).True(h.Serve(context.Background()) != nil)
}

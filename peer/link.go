package peer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/fleet"
)

// linkPath is the path of the URL that peers open links at.
const linkPath = "/peer"

// queued is a message that waits for its link.
type queued struct {
	kind fleet.MessageKind
	body []byte
}

// link carries the messages of this host to one peer. It opens a connection
// when there is a message, and ends when there was none for a while.
type link struct {
	hub     *Hub
	to      fleet.HostID
	queue   chan queued
	heard   chan struct{} // holds one signal that the peer was heard of
	conn    *websocket.Conn
	backoff time.Duration
	failing bool // the last message failed
}

func newLink(h *Hub, to fleet.HostID) *link {
	return &link{
		hub:   h,
		to:    to,
		queue: make(chan queued, h.limits.QueuedMessages),
		heard: make(chan struct{}, 1),
	}
}

// run sends what is queued until the link is idle or ctx ends.
func (l *link) run(ctx context.Context) {
	defer l.hub.running.Done()
	defer l.close()
	for {
		idle := time.NewTimer(l.hub.limits.Idle)
		select {
		case q := <-l.queue:
			l.send(ctx, q)
		case <-idle.C:
			if l.retire() {
				return
			}
		case <-ctx.Done():
			l.abandon()
			return
		}
		idle.Stop()
	}
}

// retire removes the link from the hub, unless a message was queued meanwhile.
func (l *link) retire() bool {
	l.hub.mu.Lock()
	defer l.hub.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	delete(l.hub.links, l.to)
	return true
}

// abandon removes the link and counts what was still queued.
func (l *link) abandon() {
	l.hub.mu.Lock()
	defer l.hub.mu.Unlock()
	delete(l.hub.links, l.to)
	l.drain(ReasonClosed)
}

// send writes one message. A message that fails on an old connection, which the
// peer may have closed, is tried once more on a new one.
func (l *link) send(ctx context.Context, q queued) {
	reused := l.conn != nil
	reason := l.try(ctx, q)
	if reason == ReasonWrite && reused {
		reason = l.try(ctx, q)
	}
	l.report(reason)
	if reason == "" {
		l.backoff = 0
		return
	}
	l.hub.drop(reason)
	if reason == ReasonDial || reason == ReasonWrite || reason == ReasonNoAddress {
		l.wait(ctx)
		l.drain(reason)
	}
}

// report logs when the peer begins or ceases to be out of reach.
func (l *link) report(reason Reason) {
	failing := reason != ""
	if failing == l.failing {
		return
	}
	l.failing = failing
	if failing {
		l.hub.Logger.Warn("peer out of reach", "peer", l.to, "reason", reason)
		return
	}
	l.hub.Logger.Info("peer in reach again", "peer", l.to)
}

// drain drops what was queued while the peer could not be reached, so that what
// it gets next is new.
func (l *link) drain(r Reason) {
	for {
		select {
		case <-l.queue:
			l.hub.drop(r)
		default:
			return
		}
	}
}

// try writes one message and returns why it failed, or "".
func (l *link) try(ctx context.Context, q queued) Reason {
	if reason := l.dial(ctx); reason != "" {
		return reason
	}
	b, err := l.hub.seal(l.to, PathLink, q.kind, q.body)
	if err != nil {
		return ReasonEncode
	}
	ctx, cancel := context.WithTimeout(ctx, l.hub.limits.Write)
	defer cancel()
	if err := l.conn.Write(ctx, websocket.MessageBinary, b); err != nil {
		l.close()
		return ReasonWrite
	}
	l.hub.count(PathLink, q.kind, len(b))
	return ""
}

// dial opens the connection unless it is open.
func (l *link) dial(ctx context.Context) Reason {
	if l.conn != nil {
		return ""
	}
	address, ok := l.hub.Address(l.to)
	if !ok {
		return ReasonNoAddress
	}
	if l.backoff > 0 {
		l.hub.counters.retries.Inc()
	}
	ctx, cancel := context.WithTimeout(ctx, l.hub.limits.Handshake)
	defer cancel()
	conn, response, err := websocket.Dial(ctx, "ws://"+address.String()+linkPath, nil)
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return ReasonDial
	}
	// The peer never writes; reading serves its control frames, and closing.
	conn.CloseRead(context.Background())
	l.conn = conn
	return ""
}

func (l *link) close() {
	if l.conn != nil {
		_ = l.conn.CloseNow()
		l.conn = nil
	}
}

// wait pauses before the next attempt, twice as long each time, with jitter so
// that the peers of a restarted host do not return together. A message from the
// peer ends the pause: the peer is there.
func (l *link) wait(ctx context.Context) {
	select {
	case <-l.heard: // it was heard of before the attempt failed
	default:
	}
	l.backoff = min(max(2*l.backoff, l.hub.limits.BackoffMin), l.hub.limits.BackoffMax)
	timer := time.NewTimer(l.backoff/2 + rand.N(l.backoff/2+1))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.heard:
	case <-ctx.Done():
	}
}

// The reasons to close a link from a peer early.
const (
	reasonTooManyLinks Reason = "too_many_links"
	reasonHandshake    Reason = "handshake"
)

// ServeHTTP takes a link from a peer.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.start()
	if !h.enter() {
		h.counters.rejected.WithLabelValues(string(reasonTooManyLinks)).Inc()
		http.Error(w, "too many links", http.StatusServiceUnavailable)
		return
	}
	defer h.exit()
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		h.counters.rejected.WithLabelValues(string(reasonHandshake)).Inc()
		return
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(int64(h.limits.MessageBytes) + 1)
	h.readLink(r.Context(), conn)
}

// readLink takes messages until the link is idle or a message is refused as
// unauthenticated, malformed or too long.
func (h *Hub) readLink(ctx context.Context, conn *websocket.Conn) {
	wait := h.limits.Handshake
	for {
		b, err := read(ctx, conn, wait)
		if websocket.CloseStatus(err) == websocket.StatusMessageTooBig || errors.Is(err, websocket.ErrMessageTooBig) {
			h.refuse(ReasonOversize)
		}
		if err != nil {
			return
		}
		wait = 2 * h.limits.Idle
		var refused *RefusedError
		if err := h.take(PathLink, b); errors.As(err, &refused) && refused.Peer == "" {
			h.counters.rejected.WithLabelValues(string(refused.Reason)).Inc()
			return
		}
	}
}

func read(ctx context.Context, conn *websocket.Conn, wait time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	_, b, err := conn.Read(ctx)
	return b, err
}

func (h *Hub) enter() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.inbound >= h.limits.Links {
		return false
	}
	h.inbound++
	h.counters.links.Inc()
	return true
}

func (h *Hub) exit() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inbound--
	h.counters.links.Dec()
}

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

// linkPath is the URL path at which peers open links.
const linkPath = "/peer"

// queuedMessage is a message waiting to be sent on a link.
type queuedMessage struct {
	kind fleet.MessageKind
	body []byte
}

// link sends the messages of this host to one peer. It connects when there is a
// message to send, and ends after an idle period.
type link struct {
	hub     *Hub
	to      fleet.HostID
	queue   chan queuedMessage
	wakeup  chan struct{} // buffered; signals that the peer sent a message
	conn    *websocket.Conn
	backoff time.Duration
	failing bool // the last message could not be sent
}

func newLink(hub *Hub, to fleet.HostID) *link {
	return &link{
		hub:    hub,
		to:     to,
		queue:  make(chan queuedMessage, hub.limits.QueuedMessages),
		wakeup: make(chan struct{}, 1),
	}
}

// run sends queued messages until the link is idle or ctx ends.
func (l *link) run(ctx context.Context) {
	defer l.hub.linkGroup.Done()
	defer l.close()
	for {
		idle := time.NewTimer(l.hub.limits.IdleTimeout)
		select {
		case q := <-l.queue:
			l.send(ctx, q)
		case <-idle.C:
			if l.removeIfIdle() {
				return
			}
		case <-ctx.Done():
			l.shutDown()
			return
		}
		idle.Stop()
	}
}

// removeIfIdle removes the link from the hub unless a message has been queued
// meanwhile. It reports whether it did so.
func (l *link) removeIfIdle() bool {
	l.hub.mu.Lock()
	defer l.hub.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	delete(l.hub.outboundLinks, l.to)
	return true
}

// shutDown removes the link from the hub and drops its queue.
func (l *link) shutDown() {
	l.hub.mu.Lock()
	defer l.hub.mu.Unlock()
	delete(l.hub.outboundLinks, l.to)
	l.dropQueue(ReasonClosed)
}

// send sends one message. If writing to an existing connection fails, which the
// peer may have closed, send retries once on a new one.
func (l *link) send(ctx context.Context, message queuedMessage) {
	reused := l.conn != nil
	reason := l.sendOnce(ctx, message)
	if reason == ReasonWrite && reused {
		reason = l.sendOnce(ctx, message)
	}
	l.logTransition(reason)
	if reason == "" {
		l.backoff = 0
		return
	}
	l.hub.countDropped(reason)
	if reason == ReasonDial || reason == ReasonWrite || reason == ReasonNoAddress {
		l.waitBackoff(ctx)
		l.dropQueue(reason)
	}
}

// logTransition logs when sending to the peer starts to fail and when it succeeds again.
func (l *link) logTransition(reason Reason) {
	failing := reason != ""
	if failing == l.failing {
		return
	}
	l.failing = failing
	if failing {
		l.hub.Logger.Warn("sending to peer failed", "peer", l.to, "reason", reason)
		return
	}
	l.hub.Logger.Info("sending to peer succeeded again", "peer", l.to)
}

// dropQueue drops and counts the queued messages. After a failure it ensures that the
// next message that the peer receives is recent.
func (l *link) dropQueue(r Reason) {
	for {
		select {
		case <-l.queue:
			l.hub.countDropped(r)
		default:
			return
		}
	}
}

// sendOnce makes one attempt to send a message and returns the reason why it
// failed, or "".
func (l *link) sendOnce(ctx context.Context, message queuedMessage) Reason {
	if reason := l.dial(ctx); reason != "" {
		return reason
	}
	sealed, err := l.hub.seal(l.to, PathLink, message.kind, message.body)
	if err != nil {
		return ReasonEncode
	}
	ctx, cancel := context.WithTimeout(ctx, l.hub.limits.WriteTimeout)
	defer cancel()
	if err := l.conn.Write(ctx, websocket.MessageBinary, sealed); err != nil {
		l.close()
		return ReasonWrite
	}
	l.hub.countSent(PathLink, message.kind, len(sealed))
	return ""
}

// dial opens the connection unless it is already open.
func (l *link) dial(ctx context.Context) Reason {
	if l.conn != nil {
		return ""
	}
	address, ok := l.hub.Address(l.to)
	if !ok {
		return ReasonNoAddress
	}
	if l.backoff > 0 {
		l.hub.metrics.reconnects.Inc()
	}
	ctx, cancel := context.WithTimeout(ctx, l.hub.limits.HandshakeTimeout)
	defer cancel()
	conn, response, err := websocket.Dial(ctx, "ws://"+address.String()+linkPath, nil)
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return ReasonDial
	}
	// The peer sends no data, but control frames and the close must be read.
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

// waitBackoff waits before the next attempt. The delay doubles each time and has
// jitter, so that the peers of a restarted host do not reconnect all at once. A
// message from the peer ends the wait, since it shows that the peer is up.
func (l *link) waitBackoff(ctx context.Context) {
	select {
	case <-l.wakeup: // discard a signal from before the attempt failed
	default:
	}
	l.backoff = min(max(2*l.backoff, l.hub.limits.BackoffMin), l.hub.limits.BackoffMax)
	timer := time.NewTimer(l.backoff/2 + rand.N(l.backoff/2+1))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.wakeup:
	case <-ctx.Done():
	}
}

// Reasons for rejecting an inbound link.
const (
	reasonTooManyLinks Reason = "too_many_links"
	reasonHandshake    Reason = "handshake"
)

// ServeHTTP accepts an inbound link.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.lazyInit()
	if !h.acquireInboundLink() {
		h.metrics.rejectedLinks.WithLabelValues(string(reasonTooManyLinks)).Inc()
		http.Error(w, "too many links", http.StatusServiceUnavailable)
		return
	}
	defer h.releaseInboundLink()
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		h.metrics.rejectedLinks.WithLabelValues(string(reasonHandshake)).Inc()
		return
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(int64(h.limits.MessageBytes) + 1)
	h.readLink(r.Context(), conn)
}

// readLink receives messages until the link is idle or a message is refused
// without a known sender: as unauthenticated, malformed or too long.
func (h *Hub) readLink(ctx context.Context, conn *websocket.Conn) {
	timeout := h.limits.HandshakeTimeout
	for {
		data, err := readMessage(ctx, conn, timeout)
		if websocket.CloseStatus(err) == websocket.StatusMessageTooBig || errors.Is(err, websocket.ErrMessageTooBig) {
			h.countRefused(ReasonOversize)
		}
		if err != nil {
			return
		}
		timeout = 2 * h.limits.IdleTimeout
		var refused *RefusedError
		if err := h.receive(PathLink, data); errors.As(err, &refused) && refused.Peer == "" {
			h.metrics.rejectedLinks.WithLabelValues(string(refused.Reason)).Inc()
			return
		}
	}
}

func readMessage(ctx context.Context, conn *websocket.Conn, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, b, err := conn.Read(ctx)
	return b, err
}

// acquireInboundLink reports whether another inbound link is allowed, and counts it.
func (h *Hub) acquireInboundLink() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.inboundLinks >= h.limits.MaxLinks {
		return false
	}
	h.inboundLinks++
	h.metrics.inboundLinks.Inc()
	return true
}

func (h *Hub) releaseInboundLink() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inboundLinks--
	h.metrics.inboundLinks.Dec()
}

package platformstandin

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"
)

// Class is a kind of request.
type Class struct {
	Name  string
	Route netip.AddrPort
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// Idempotent requests are retried after any failure.
	Idempotent bool
	// FlowPerRequest means that each request opens a flow of its own.
	FlowPerRequest bool
	// Objective is the time within which a response earns full credit.
	Objective time.Duration
	Deadline  time.Duration
	// Credit is earned by a response within Objective, LateCredit by a later one.
	Credit, LateCredit float64
}

// maxRetries is the maximum number of retries of a request.
const maxRetries = 2

// retransmitDelays are the times that a client waits for a response to each
// transmission of a packet.
var retransmitDelays = [...]time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// client sends requests of one class, one at a time.
type client struct {
	site      *Site
	zone      string
	class     Class
	address   netip.Addr
	random    *rand.Rand
	meanPause time.Duration

	port   uint16
	flow   flowID
	inbox  chan answer
	open   bool
	cookie uint32
	seq    uint32
	ack    uint32
}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	for {
		wait := time.Duration((0.5 + c.random.Float64()) * float64(c.meanPause) / c.site.currentLoadFactor())
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		c.request(ctx)
	}
}

// result is the outcome of an attempt.
type result int

const (
	served result = iota
	// notRun means that the request certainly did not run.
	notRun
	failed
)

// request sends one request with its retries and records its outcome, unless
// runCtx ended first.
func (c *client) request(runCtx context.Context) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(runCtx, c.class.Deadline)
	defer cancel()
	outcome := failed
	for range maxRetries + 1 {
		outcome = c.attempt(ctx, c.site.newRequest(c.class))
		if outcome == served || ctx.Err() != nil || outcome == failed && !c.class.Idempotent {
			break
		}
	}
	if c.class.FlowPerRequest && c.open {
		c.close()
	}
	if runCtx.Err() == nil {
		c.site.recordResult(c, outcome == served, start)
	}
}

func (c *client) attempt(ctx context.Context, request uint64) result {
	c.readPending()
	if !c.open && !c.openFlow(ctx) {
		return notRun
	}
	return c.exchange(ctx, request)
}

// readPending processes the packets that arrived while no request was waiting.
func (c *client) readPending() {
	for {
		select {
		case a := <-c.inbox:
			c.open = c.open && a.flags&flagRST == 0
		default:
			return
		}
	}
}

func (c *client) openFlow(ctx context.Context) bool {
	if c.inbox != nil {
		c.site.stopListening(c.flow)
	}
	c.port++
	c.flow = flowID{netip.AddrPortFrom(c.address, c.port), c.class.Route}
	c.inbox = make(chan answer, 64)
	c.cookie, c.seq, c.ack = 0, c.random.Uint32(), 0
	c.site.listen(c.zone, c.flow, c.inbox)
	for attempt, delay := range retransmitDelays {
		c.send(segment{flags: flagSYN, seq: c.seq, ack: uint32(attempt)})
		reply, ok := c.await(ctx, delay, func(reply answer) bool { return reply.flags&(flagSYN|flagRST) != 0 })
		if ok && reply.flags&flagRST != 0 {
			return false
		}
		if ok {
			c.open, c.cookie, c.ack = true, reply.cookie, reply.seq+1
			c.seq++
			c.send(segment{flags: flagACK, seq: c.seq, ack: c.ack})
			return true
		}
	}
	return false
}

func (c *client) exchange(ctx context.Context, request uint64) result {
	packet := segment{flags: flagACK, seq: c.seq, ack: c.ack, request: request}
	for _, delay := range retransmitDelays {
		c.send(packet)
		reply, ok := c.await(ctx, delay, func(reply answer) bool { return reply.request == request || reply.flags&flagRST != 0 })
		if !ok {
			if ctx.Err() != nil {
				break
			}
			continue
		}
		if reply.flags&flagRST != 0 {
			c.open = false
			return failed
		}
		c.seq += requestBytes
		c.ack += requestBytes
		c.cookie = reply.cookie
		c.send(segment{flags: flagACK, seq: c.seq, ack: c.ack})
		if reply.refused {
			return notRun
		}
		return served
	}
	c.close()
	return failed
}

func (c *client) close() {
	c.send(segment{flags: flagRST, seq: c.seq, ack: c.ack})
	c.site.stopListening(c.flow)
	c.open = false
}

func (c *client) send(p segment) {
	p.flow, p.cookie = c.flow, c.cookie
	c.site.route(c.zone, p)
}

func (c *client) await(ctx context.Context, timeout time.Duration, wanted func(answer) bool) (answer, bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case reply := <-c.inbox:
			if wanted(reply) {
				return reply, true
			}
		case <-timer.C:
			return answer{}, false
		case <-ctx.Done():
			return answer{}, false
		}
	}
}

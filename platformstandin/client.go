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
	// Idempotent requests are tried again after any failure.
	Idempotent bool
	// Fresh requests open a flow each.
	Fresh bool
	// Objective is the time within which an answer earns full credit.
	Objective time.Duration
	Deadline  time.Duration
	// Worth is the credit of an answer in time, and Late of a later one.
	Worth, Late float64
}

// clientRetries is how often a client tries again.
const clientRetries = 2

// repeatAfter holds the pauses after which a packet is sent again.
var repeatAfter = [...]time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// client is one user that sends requests of one class, one at a time.
type client struct {
	site    *Site
	zone    string
	class   Class
	address netip.Addr
	random  *rand.Rand
	pause   time.Duration

	port  uint16
	flow  flowID
	inbox chan answer
	open  bool
	echo  uint32
	seq   uint32
	ack   uint32
}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	for {
		wait := time.Duration((0.5 + c.random.Float64()) * float64(c.pause) / c.site.pressure())
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		c.request(ctx)
	}
}

// result is how a try ended.
type result int

const (
	served result = iota
	// notRun says that the request has certainly not run.
	notRun
	failed
)

// request sends one request, with its retries, and reports how it ended, unless
// the day did.
func (c *client) request(day context.Context) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(day, c.class.Deadline)
	defer cancel()
	end := failed
	for range clientRetries + 1 {
		end = c.try(ctx, c.site.newRequest(c.class))
		if end == served || ctx.Err() != nil || end == failed && !c.class.Idempotent {
			break
		}
	}
	if c.class.Fresh && c.open {
		c.close()
	}
	if day.Err() == nil {
		c.site.report(c, end == served, start)
	}
}

func (c *client) try(ctx context.Context, request uint64) result {
	c.notice()
	if !c.open && !c.openFlow(ctx) {
		return notRun
	}
	return c.exchange(ctx, request)
}

// notice takes in what came while no request was waiting.
func (c *client) notice() {
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
		c.site.forget(c.flow)
	}
	c.port++
	c.flow = flowID{netip.AddrPortFrom(c.address, c.port), c.class.Route}
	c.inbox = make(chan answer, 64)
	c.echo, c.seq, c.ack = 0, c.random.Uint32(), 0
	c.site.listen(c.zone, c.flow, c.inbox)
	for try, pause := range repeatAfter {
		c.send(segment{flags: flagSYN, seq: c.seq, ack: uint32(try)})
		a, ok := c.await(ctx, pause, func(a answer) bool { return a.flags&(flagSYN|flagRST) != 0 })
		if ok && a.flags&flagRST != 0 {
			return false
		}
		if ok {
			c.open, c.echo, c.ack = true, a.echo, a.seq+1
			c.seq++
			c.send(segment{flags: flagACK, seq: c.seq, ack: c.ack})
			return true
		}
	}
	return false
}

func (c *client) exchange(ctx context.Context, request uint64) result {
	packet := segment{flags: flagACK, seq: c.seq, ack: c.ack, request: request}
	for _, pause := range repeatAfter {
		c.send(packet)
		a, ok := c.await(ctx, pause, func(a answer) bool { return a.request == request || a.flags&flagRST != 0 })
		if !ok {
			if ctx.Err() != nil {
				break
			}
			continue
		}
		if a.flags&flagRST != 0 {
			c.open = false
			return failed
		}
		c.seq += requestBytes
		c.ack += requestBytes
		c.echo = a.echo
		c.send(segment{flags: flagACK, seq: c.seq, ack: c.ack})
		if a.refused {
			return notRun
		}
		return served
	}
	c.close()
	return failed
}

func (c *client) close() {
	c.send(segment{flags: flagRST, seq: c.seq, ack: c.ack})
	c.site.forget(c.flow)
	c.open = false
}

func (c *client) send(p segment) {
	p.flow, p.echo = c.flow, c.echo
	c.site.route(c.zone, p)
}

func (c *client) await(ctx context.Context, pause time.Duration, wanted func(answer) bool) (answer, bool) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case a := <-c.inbox:
			if wanted(a) {
				return a, true
			}
		case <-timer.C:
			return answer{}, false
		case <-ctx.Done():
			return answer{}, false
		}
	}
}

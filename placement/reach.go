package placement

import (
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
)

// Reach holds the servers that are in doubt because a packet to them was
// repeated, and those that accept no connection. The zero value is ready for
// use. It belongs to one goroutine.
type Reach struct {
	servers map[catalogue.Cookie]doubt
}

// doubt is what is known of a server that is being probed.
type doubt struct {
	unreachable bool
	// kept says that the flows of the unreachable server were not ended, as no other
	// server could take them.
	kept bool
	// answered is when a caller last acknowledged data of the server.
	answered time.Time
}

// Doubt notes a sign that a server may have ended. It reports whether the
// server should be probed now.
func (r *Reach) Doubt(server catalogue.Cookie) bool {
	if _, doubted := r.servers[server]; doubted {
		return false
	}
	r.put(server, doubt{})
	return true
}

// Answered notes that a caller has acknowledged data of a server, which shows that
// a probe without an answer was lost or had to wait.
func (r *Reach) Answered(now time.Time, server catalogue.Cookie) {
	if held, doubted := r.servers[server]; doubted {
		held.answered = now
		r.servers[server] = held
	}
}

// Probed takes in what a probe that began at a time has found. It reports whether the
// server's flows should be ended now: it has become unreachable, and its address
// refuses connections or another server can take them.
func (r *Reach) Probed(began time.Time, server catalogue.Cookie, found Evidence, other bool) bool {
	held := r.servers[server]
	if ended := held.unreachable && !held.kept; found == Silent && !ended && !held.answered.Before(began) {
		found = Unclear
	}
	switch found {
	case Accepted:
		delete(r.servers, server)
		return false
	case Unclear:
		return false
	case Refused, Silent:
	}
	kept := found == Silent && !other && (!held.unreachable || held.kept)
	r.put(server, doubt{unreachable: true, kept: kept})
	return !kept && (!held.unreachable || held.kept)
}

func (r *Reach) put(server catalogue.Cookie, held doubt) {
	if r.servers == nil {
		r.servers = make(map[catalogue.Cookie]doubt)
	}
	r.servers[server] = held
}

// Forget drops what is known of a server that has ended.
func (r *Reach) Forget(server catalogue.Cookie) { delete(r.servers, server) }

// Doubted reports whether a server is being probed.
func (r *Reach) Doubted(server catalogue.Cookie) bool {
	_, doubted := r.servers[server]
	return doubted
}

// Unreachable reports whether a server accepts no connection.
func (r *Reach) Unreachable(server catalogue.Cookie) bool { return r.servers[server].unreachable }

// Ended reports whether the flows of an unreachable server have been ended.
func (r *Reach) Ended(server catalogue.Cookie) bool {
	held := r.servers[server]
	return held.unreachable && !held.kept
}

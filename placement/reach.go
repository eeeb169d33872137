package placement

import "github.com/rattanthread/rattanthread/catalogue"

// Reach holds the servers that are in doubt because a packet to them was
// repeated, and those that accept no connection. The zero value is ready for
// use. It belongs to one goroutine.
type Reach struct {
	servers map[catalogue.Cookie]reachState
}

type reachState int

const (
	stateProbing reachState = iota + 1
	stateUnreachable
)

// Doubt notes a sign that a server may have ended. It reports whether the
// server should be probed now.
func (r *Reach) Doubt(server catalogue.Cookie) bool {
	if r.servers[server] != 0 {
		return false
	}
	if r.servers == nil {
		r.servers = make(map[catalogue.Cookie]reachState)
	}
	r.servers[server] = stateProbing
	return true
}

// Probed takes in what a probe found. It reports whether the server has just
// become unreachable.
func (r *Reach) Probed(server catalogue.Cookie, reachable bool) bool {
	before := r.servers[server]
	if reachable {
		delete(r.servers, server)
		return false
	}
	if r.servers == nil {
		r.servers = make(map[catalogue.Cookie]reachState)
	}
	r.servers[server] = stateUnreachable
	return before != stateUnreachable
}

// Forget drops what is known of a server that has ended.
func (r *Reach) Forget(server catalogue.Cookie) { delete(r.servers, server) }

// Unreachable reports whether a server accepts no connection.
func (r *Reach) Unreachable(server catalogue.Cookie) bool {
	return r.servers[server] == stateUnreachable
}

package rollout

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/fleet"
)

// push passes the revision that has just come into force to the peers below
// this host in its tree. A reader starts the tree too. A fresh host passes
// nothing on before it has compared itself with its peers.
func (f *Follower) push(reader bool) []fleet.Send {
	if !f.ready {
		return nil
	}
	var sends []fleet.Send
	for _, to := range f.children(reader) {
		sends = append(sends, fleet.Send{To: to, Message: f.latest()})
	}
	return sends
}

// latest returns the last step, or only the head when there is none.
func (f *Follower) latest() fleet.Message {
	n := len(f.backlog.steps)
	if n == 0 {
		return f.announce(false)
	}
	return &Changes{Head: f.head(), Steps: f.backlog.steps[n-1:]}
}

// children returns the peers that this host passes a revision to. The live hosts
// of the data centre form a tree, in an order that each revision draws anew so
// that the load is shared. Two hosts that see different live hosts differ in the
// tree; what a peer misses that way it gets when heads are compared.
func (f *Follower) children(root bool) []fleet.HostID {
	order := slices.Clone(f.near)
	slices.SortFunc(order, func(a, b fleet.HostID) int {
		x, y := f.place(a), f.place(b)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	self := slices.Index(order, f.Self)
	if self < 0 {
		return nil
	}
	first := min(treeFanout*self+1, len(order))
	last := min(first+treeFanout, len(order))
	children := order[first:last]
	if root && self > 0 {
		children = append(children, order[0])
	}
	return children
}

// place returns where a host stands in the tree of the revision in force.
func (f *Follower) place(id fleet.HostID) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(f.current.Revision))
	_, _ = d.WriteString(string(id))
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(f.current.Revision))
	_, _ = d.Write(b[:])
	return d.Sum64()
}

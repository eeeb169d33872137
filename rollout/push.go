package rollout

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/fleet"
)

// push sends the revision just put in force to the children of this host in the
// distribution tree, and if fromPlatform is set also to the root of the tree. A host
// that is not ready pushes nothing, since it has not compared itself with its peers.
func (f *Follower) push(fromPlatform bool) []fleet.Send {
	if !f.ready {
		return nil
	}
	var sends []fleet.Send
	for _, to := range f.children(fromPlatform) {
		sends = append(sends, fleet.Send{To: to, Message: f.latestMessage()})
	}
	return sends
}

// latestMessage returns the last step, or only the head if there is none.
func (f *Follower) latestMessage() fleet.Message {
	n := len(f.backlog.steps)
	if n == 0 {
		return f.newAnnounce(false)
	}
	return &Changes{Head: f.head(), Steps: f.backlog.steps[n-1:]}
}

// children returns the peers to which this host pushes a revision, with the root of
// the tree if includeRoot is set. The live hosts of the data centre form a tree
// whose order differs for each revision, to distribute the load. Hosts that see
// different live hosts compute different trees; a peer missed because of that
// obtains the revision when heads are compared.
func (f *Follower) children(includeRoot bool) []fleet.HostID {
	order := slices.Clone(f.localHosts)
	slices.SortFunc(order, func(a, b fleet.HostID) int {
		x, y := f.treeOrder(a), f.treeOrder(b)
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
	if includeRoot && self > 0 {
		children = append(children, order[0])
	}
	return children
}

// treeOrder returns the sort key of a host in the tree of the revision in force.
func (f *Follower) treeOrder(id fleet.HostID) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(uint64(f.current.Revision))
	_, _ = digest.WriteString(string(id))
	var revision [8]byte
	binary.BigEndian.PutUint64(revision[:], uint64(f.current.Revision))
	_, _ = digest.Write(revision[:])
	return digest.Sum64()
}

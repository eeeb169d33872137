package fleet

import "github.com/cespare/xxhash/v2"

// Rendezvous returns the owner of key, the host with the highest score. All hosts
// that pass the same set of hosts get the same owner, and the removal of a host
// moves only the keys that it owned. It returns "" if hosts is empty.
//
// The scheme is highest random weight hashing (Thaler and Ravishankar, 1998).
func Rendezvous(key string, hosts []HostID) HostID {
	owner, _ := RendezvousPair(key, hosts)
	return owner
}

// RendezvousPair returns the owner of key and its successor, the host that becomes
// the owner when the current one is removed. With fewer than two hosts the
// successor is "".
func RendezvousPair(key string, hosts []HostID) (owner, successor HostID) {
	var ownerScore, successorScore uint64
	for _, host := range hosts {
		hostScore := score(key, host)
		switch {
		case owner == "" || higherRanked(hostScore, host, ownerScore, owner):
			successor, successorScore = owner, ownerScore
			owner, ownerScore = host, hostScore
		case successor == "" || higherRanked(hostScore, host, successorScore, successor):
			successor, successorScore = host, hostScore
		}
	}
	return owner, successor
}

// higherRanked reports whether host ranks before other. The lower ID breaks a tie.
func higherRanked(hostScore uint64, host HostID, otherScore uint64, other HostID) bool {
	if hostScore != otherScore {
		return hostScore > otherScore
	}
	return host < other
}

func score(key string, host HostID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(host))
	return digest.Sum64()
}

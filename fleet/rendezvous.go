package fleet

import "github.com/cespare/xxhash/v2"

// Rendezvous returns the live host that owns key: the one with the highest
// score. Every host that sees the same hosts names the same owner, and losing a
// host moves only the keys which it owned. It returns "" for no hosts.
//
// The scheme is highest random weight hashing (Thaler and Ravishankar, 1998).
func Rendezvous(key string, hosts []HostID) HostID {
	owner, _ := RendezvousPair(key, hosts)
	return owner
}

// RendezvousPair returns the owner of key and its successor, the host that
// becomes owner when the first is lost. With fewer than two hosts the
// successor is "".
func RendezvousPair(key string, hosts []HostID) (owner, successor HostID) {
	var best, second uint64
	for _, host := range hosts {
		score := score(key, host)
		switch {
		case owner == "" || better(score, host, best, owner):
			successor, second = owner, best
			owner, best = host, score
		case successor == "" || better(score, host, second, successor):
			successor, second = host, score
		}
	}
	return owner, successor
}

func better(score uint64, host HostID, best uint64, holder HostID) bool {
	if score != best {
		return score > best
	}
	return host < holder
}

func score(key string, host HostID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(host))
	return d.Sum64()
}

package flow

import "github.com/rattanthread/rattanthread/fleet"

// BuildTable exports buildTable: weights by server, slots by position in ids.
func BuildTable(ids []fleet.ServerID, weights []fleet.Weight) []uint16 {
	var shares []share
	for i, id := range ids {
		if weights[i] > 0 {
			shares = append(shares, newShare(uint16(i), id, weights[i]))
		}
	}
	return buildTable(shares)
}

// Mix exports mix.
func Mix(seed, n uint64) uint64 { return mix(seed, n) }

// HashFlow exports hashFlow.
func HashFlow(key *[16]byte, k *fleet.FlowKey) uint64 { return hashFlow(key, k) }

// SlotOf exports slotOf.
func SlotOf(hash uint64) uint16 { return slotOf(hash) }

package flow

import "github.com/rattanthread/rattanthread/fleet"

// BuildTable exports buildTable. The slots hold positions in ids.
func BuildTable(ids []fleet.ServerID, weights []fleet.Weight) []uint16 {
	var candidates []candidate
	for i, id := range ids {
		if weights[i] > 0 {
			candidates = append(candidates, newCandidate(uint16(i), id, weights[i]))
		}
	}
	return buildTable(candidates)
}

// MixHash exports mixHash.
func MixHash(seed, n uint64) uint64 { return mixHash(seed, n) }

// HashFlow exports hashFlow.
func HashFlow(key *[16]byte, k *fleet.FlowKey) uint64 { return hashFlow(key, k) }

// SlotOf exports slotOf.
func SlotOf(hash uint64) uint16 { return slotOf(hash) }

package flow

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/fleet"
)

// SlotCount is the number of slots of a service, a prime. It is the same for
// every service and must never change: another count would move nearly every
// flow to another server.
const SlotCount = 4093

// noServer is the server index that means no server, in tables and records.
const noServer = ^uint16(0)

// candidate is a server that takes part in the rendezvous hashing of a service.
type candidate struct {
	index  uint16 // of the server in its service
	seed   uint64
	weight float64
}

func newCandidate(index uint16, id fleet.ServerID, weight fleet.Weight) candidate {
	return candidate{index: index, seed: xxhash.Sum64String(string(id)), weight: float64(weight)}
}

// buildTable assigns every slot to one of candidates by weighted rendezvous
// hashing: each server has a pseudorandom cost for the slot, exponentially
// distributed with its weight as rate, and the server with the lowest cost gets
// the slot (Schindelhauer and Schomaker, 2005). A change of one server's weight
// moves only slots to or from that server.
//
// A second pass uses weights that are partly corrected by the resulting slot
// counts, which makes the table more even and moves a few more slots. A full
// correction moves more slots the more servers there are, so the corrected
// fraction shrinks with their number.
//
// The result depends on candidates alone, not on their order or on earlier tables.
func buildTable(candidates []candidate) []uint16 {
	table := make([]uint16, SlotCount)
	if len(candidates) == 0 {
		fill(table, noServer)
		return table
	}
	costs := computeCosts(candidates)
	rates := make([]float64, len(candidates))
	var total float64
	for i := range candidates {
		rates[i] = candidates[i].weight
		total += candidates[i].weight
	}
	counts := make([]int, len(candidates))
	assignSlots(table, costs, rates, counts)
	correctRates(rates, counts, total)
	assignSlots(table, costs, rates, counts)
	for slot, i := range table {
		table[slot] = candidates[i].index
	}
	return table
}

// computeCosts returns the unweighted cost of each server for each slot.
func computeCosts(candidates []candidate) []float64 {
	costs := make([]float64, 0, SlotCount*len(candidates))
	for slot := range SlotCount {
		for i := range candidates {
			costs = append(costs, float64(negativeLog2(mixHash(candidates[i].seed, uint64(slot)))))
		}
	}
	return costs
}

// assignSlots sets each slot to the position of its cheapest server, and counts
// the slots of each server.
func assignSlots(table []uint16, costs, rates []float64, counts []int) {
	clear(counts)
	servers := len(rates)
	for slot := range table {
		best, lowest := 0, costs[slot*servers]/rates[0]
		for i := 1; i < servers; i++ {
			if cost := costs[slot*servers+i] / rates[i]; cost < lowest {
				best, lowest = i, cost
			}
		}
		table[slot] = uint16(best)
		counts[best]++
	}
}

const (
	// maxCorrection is the largest fraction of a server's deviation that is corrected.
	maxCorrection = 0.5
	// fullCorrectionServers divided by the number of servers is the corrected
	// fraction, up to maxCorrection.
	fullCorrectionServers = 8
)

// correctRates moves each rate towards the value that would give the server its
// share. The explicit conversions keep the compiler from fusing a multiplication
// and an addition on some architectures, so that all hosts compute the same
// table.
func correctRates(rates []float64, counts []int, total float64) {
	fraction := min(maxCorrection, fullCorrectionServers/float64(len(rates)))
	for i := range rates {
		if counts[i] == 0 {
			continue
		}
		ideal := float64(SlotCount*rates[i]) / total
		change := float64(fraction * (ideal/float64(counts[i]) - 1))
		rates[i] *= 1 + change
	}
}

func fill(table []uint16, server uint16) {
	for i := range table {
		table[i] = server
	}
}

// mixHash hashes a pair to 64 bits with the finalizer of MurmurHash3.
func mixHash(seed, n uint64) uint64 {
	const goldenRatio = 0x9e3779b97f4a7c15
	x := seed ^ (n+1)*goldenRatio
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

const (
	logIndexBits    = 12 // bits of the index into log2Table
	logFractionBits = 32 // fractional bits of a fixed-point logarithm
)

// log2Table holds log2(1 + i/2^logIndexBits) with logFractionBits fractional bits.
var log2Table = func() (table [1<<logIndexBits + 1]uint64) {
	for i := range table {
		table[i] = log2Entry(uint64(i))
	}
	return table
}()

// log2Entry computes one entry of log2Table, a bit at a time by squaring.
func log2Entry(i uint64) uint64 {
	if i == 1<<logIndexBits {
		return 1 << logFractionBits
	}
	x := (1<<logIndexBits + i) << (62 - logIndexBits) // in [1, 2) with 62 fractional bits
	var log uint64
	for range logFractionBits {
		hi, lo := bits.Mul64(x, x)
		x = hi<<2 | lo>>62
		log <<= 1
		if x >= 1<<63 {
			x >>= 1
			log |= 1
		}
	}
	return log
}

// negativeLog2 returns -log2(u/2^64), with logFractionBits fractional bits. It
// uses only integers, so that the result is the same on every architecture.
func negativeLog2(u uint64) uint64 {
	u |= 1
	zeros := bits.LeadingZeros64(u)
	u <<= zeros + 1 // the bits after the leading 1
	i := u >> (64 - logIndexBits)
	rest := u << logIndexBits >> 32
	step := log2Table[i+1] - log2Table[i]
	log := log2Table[i] + step*rest>>32
	return uint64(zeros+1)<<logFractionBits - log
}

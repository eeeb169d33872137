package flow

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/fleet"
)

// SlotCount is the number of slots of a service. It is prime, and the same for
// every service and all time: another count would move nearly every flow.
const SlotCount = 4093

// noServer stands for no server in tables and records.
const noServer = ^uint16(0)

// share is a server's claim on the slots of one service.
type share struct {
	index  uint16 // of the server in its service
	seed   uint64
	weight float64
}

func newShare(index uint16, id fleet.ServerID, weight fleet.Weight) share {
	return share{index: index, seed: xxhash.Sum64String(string(id)), weight: float64(weight)}
}

// buildTable gives every slot to one of shares by weighted rendezvous hashing:
// each server draws a cost for the slot, exponentially distributed with its
// weight as rate, and the lowest wins (Schindelhauer and Schomaker, 2005).
// A change of one server's weight moves only slots to or from that server.
//
// The weights are then corrected in part by the shares that came out, which makes
// the table more even and moves a few more slots. The more servers there are,
// the more a full correction would move, and the less of it is made.
//
// The result depends on shares alone, not on their order or on earlier tables.
func buildTable(shares []share) []uint16 {
	table := make([]uint16, SlotCount)
	if len(shares) == 0 {
		fill(table, noServer)
		return table
	}
	costs := drawCosts(shares)
	rates := make([]float64, len(shares))
	var total float64
	for i := range shares {
		rates[i] = shares[i].weight
		total += shares[i].weight
	}
	counts := make([]int, len(shares))
	assign(table, costs, rates, counts)
	correct(rates, counts, total)
	assign(table, costs, rates, counts)
	for slot, i := range table {
		table[slot] = shares[i].index
	}
	return table
}

// drawCosts returns the cost of each server for each slot, before weights.
func drawCosts(shares []share) []float64 {
	costs := make([]float64, 0, SlotCount*len(shares))
	for slot := range SlotCount {
		for i := range shares {
			costs = append(costs, float64(negativeLog(mix(shares[i].seed, uint64(slot)))))
		}
	}
	return costs
}

// assign gives each slot the position of its cheapest server, and counts.
func assign(table []uint16, costs, rates []float64, counts []int) {
	clear(counts)
	n := len(rates)
	for slot := range table {
		best, lowest := 0, costs[slot*n]/rates[0]
		for i := 1; i < n; i++ {
			if cost := costs[slot*n+i] / rates[i]; cost < lowest {
				best, lowest = i, cost
			}
		}
		table[slot] = uint16(best)
		counts[best]++
	}
}

const (
	// maxCorrection is the largest part of a server's deviation that is corrected.
	maxCorrection = 0.5
	// correctedServers is the number of servers over which one whole correction is spread.
	correctedServers = 8
)

// correct moves each rate towards the one that would give the server its share.
// Products and sums stand apart, so that no processor fuses them and all hosts
// get the same table.
func correct(rates []float64, counts []int, total float64) {
	part := min(maxCorrection, correctedServers/float64(len(rates)))
	for i := range rates {
		if counts[i] == 0 {
			continue
		}
		want := float64(SlotCount*rates[i]) / total
		change := float64(part * (want/float64(counts[i]) - 1))
		rates[i] *= 1 + change
	}
}

func fill(table []uint16, server uint16) {
	for i := range table {
		table[i] = server
	}
}

// mix draws 64 bits for a pair, by the finalizer of MurmurHash3.
func mix(seed, n uint64) uint64 {
	const golden = 0x9e3779b97f4a7c15
	x := seed ^ (n+1)*golden
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

const (
	logBits     = 12 // of the index into logTable
	logFraction = 32 // fractional bits of a logarithm
)

// logTable holds log2(1 + i/2^logBits) with logFraction fractional bits.
var logTable = func() (table [1<<logBits + 1]uint64) {
	for i := range table {
		table[i] = logarithm(uint64(i))
	}
	return table
}()

// logarithm computes one entry of logTable, a bit at a time by squaring.
func logarithm(i uint64) uint64 {
	if i == 1<<logBits {
		return 1 << logFraction
	}
	x := (1<<logBits + i) << (62 - logBits) // in [1, 2) with 62 fractional bits
	var log uint64
	for range logFraction {
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

// negativeLog returns -log2(u/2^64), with logFraction fractional bits. It uses
// whole numbers only, so that every processor gets the same.
func negativeLog(u uint64) uint64 {
	u |= 1
	zeros := bits.LeadingZeros64(u)
	u <<= zeros + 1 // the bits after the leading one
	i := u >> (64 - logBits)
	rest := u << logBits >> 32
	step := logTable[i+1] - logTable[i]
	log := logTable[i] + step*rest>>32
	return uint64(zeros+1)<<logFraction - log
}

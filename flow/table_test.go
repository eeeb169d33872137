package flow_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/flow"
)

// tableBuilder builds a slot table.
type tableBuilder func(ids []fleet.ServerID, weights []fleet.Weight) []uint16

// maglev builds the baseline table, that of Maglev (Eisenbud et al., 2016), in
// which a server with a lower weight takes fewer turns.
func maglev(ids []fleet.ServerID, weights []fleet.Weight) []uint16 {
	const m = flow.SlotCount
	table := make([]uint16, m)
	for i := range table {
		table[i] = math.MaxUint16
	}
	next, credit := make([]uint64, len(ids)), make([]float64, len(ids))
	top := float64(slices.Max(weights))
	for filled := 0; filled < m; {
		for i, id := range ids {
			if credit[i] += float64(weights[i]) / top; credit[i] < 1 {
				continue
			}
			credit[i]--
			h := xxhash.Sum64String(string(id))
			offset, skip := h%m, flow.MixHash(h, 0)%(m-1)+1
			slot := (offset + next[i]*skip) % m
			for table[slot] != math.MaxUint16 {
				next[i]++
				slot = (offset + next[i]*skip) % m
			}
			table[slot] = uint16(i)
			if filled++; filled == m {
				break
			}
		}
	}
	return table
}

// quality is the evenness of a table, and the number of slots that weight changes
// move.
type quality struct {
	deviation, maxOverMean float64 // standard deviation over mean, and maximum over mean, by weight
	moved, leastMoved      int
}

func (q *quality) measure(build tableBuilder, servers int, weight func(int) fleet.Weight) {
	ids := make([]fleet.ServerID, servers)
	weights := make([]fleet.Weight, servers)
	for i := range ids {
		ids[i], weights[i] = fleet.ServerID(fmt.Sprintf("server-%d-%d", servers, i)), weight(i)
	}
	before := build(ids, weights)
	q.measureEvenness(before, weights)
	for i := 0; i < servers; i += 1 + servers/15 {
		for _, w := range []fleet.Weight{0, weights[i] / 2, weights[i] * 2} {
			changed := slices.Clone(weights)
			changed[i] = w
			q.measureMovement(before, build(ids, changed), weights, changed)
		}
	}
}

func (q *quality) measureEvenness(table []uint16, weights []fleet.Weight) {
	counts := slotCounts(table, len(weights))
	var sum float64
	for i, want := range idealCounts(weights) {
		ratio := counts[i] / want
		q.maxOverMean = max(q.maxOverMean, ratio)
		sum += (ratio - 1) * (ratio - 1)
	}
	q.deviation = max(q.deviation, math.Sqrt(sum/float64(len(weights))))
}

// measureMovement adds the number of slots that moved, and the minimum number that must
// move to give every server its share by weight.
func (q *quality) measureMovement(before, after []uint16, old, changed []fleet.Weight) {
	for slot := range before {
		if before[slot] != after[slot] {
			q.moved++
		}
	}
	var least float64
	from, to := idealCounts(old), idealCounts(changed)
	for i := range from {
		least += max(0, to[i]-from[i])
	}
	q.leastMoved += int(least)
}

func slotCounts(table []uint16, n int) []float64 {
	counts := make([]float64, n)
	for _, i := range table {
		counts[i]++
	}
	return counts
}

func idealCounts(weights []fleet.Weight) []float64 {
	var total float64
	for _, w := range weights {
		total += float64(w)
	}
	out := make([]float64, len(weights))
	for i, w := range weights {
		out[i] = flow.SlotCount * float64(w) / total
	}
	return out
}

func even(int) fleet.Weight     { return 100 }
func uneven(i int) fleet.Weight { return fleet.Weight(50 + 50*(i%4)) }

func TestTableQuality(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, test := range []struct {
		name   string
		n      int
		weight func(int) fleet.Weight
	}{
		{"4 even", 4, even},
		{"14 even", 14, even},
		{"18 uneven", 18, uneven},
		{"60 uneven", 60, uneven},
	} {
		var rendezvous, baseline quality
		rendezvous.measure(flow.BuildTable, test.n, test.weight)
		baseline.measure(maglev, test.n, test.weight)
		for _, q := range []struct {
			name string
			quality
		}{{"rendezvous", rendezvous}, {"maglev", baseline}} {
			t.Logf("%-10s %-10s deviation %.4f, max/mean %.3f, moved/least %.3f",
				test.name, q.name, q.deviation, q.maxOverMean, float64(q.moved)/float64(q.leastMoved))
		}
		is.True(float64(rendezvous.moved) <= 1.1*float64(rendezvous.leastMoved))
	}
}

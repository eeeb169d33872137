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

// builder is a way to build a slot table.
type builder func(ids []fleet.ServerID, weights []fleet.Weight) []uint16

// maglev is the baseline: the table of Maglev (Eisenbud and others, 2016), where
// a server of less weight takes fewer turns.
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
			offset, skip := h%m, flow.Mix(h, 0)%(m-1)+1
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

// quality is the evenness of a table, and the movement of changes of it.
type quality struct {
	deviation, worst  float64 // standard deviation over mean, and maximum over mean, by weight
	moved, leastMoved int
}

func (q *quality) measure(build builder, n int, weight func(int) fleet.Weight) {
	ids := make([]fleet.ServerID, n)
	weights := make([]fleet.Weight, n)
	for i := range ids {
		ids[i], weights[i] = fleet.ServerID(fmt.Sprintf("server-%d-%d", n, i)), weight(i)
	}
	before := build(ids, weights)
	q.evenness(before, weights)
	for i := 0; i < n; i += 1 + n/15 {
		for _, w := range []fleet.Weight{0, weights[i] / 2, weights[i] * 2} {
			changed := slices.Clone(weights)
			changed[i] = w
			q.movement(before, build(ids, changed), weights, changed)
		}
	}
}

func (q *quality) evenness(table []uint16, weights []fleet.Weight) {
	counts := count(table, len(weights))
	var sum float64
	for i, want := range ideal(weights) {
		ratio := counts[i] / want
		q.worst = max(q.worst, ratio)
		sum += (ratio - 1) * (ratio - 1)
	}
	q.deviation = max(q.deviation, math.Sqrt(sum/float64(len(weights))))
}

// movement adds the slots that moved, and the fewest that had to move to give
// every server its share by weight.
func (q *quality) movement(before, after []uint16, old, changed []fleet.Weight) {
	for slot := range before {
		if before[slot] != after[slot] {
			q.moved++
		}
	}
	var least float64
	from, to := ideal(old), ideal(changed)
	for i := range from {
		least += max(0, to[i]-from[i])
	}
	q.leastMoved += int(least)
}

func count(table []uint16, n int) []float64 {
	counts := make([]float64, n)
	for _, i := range table {
		counts[i]++
	}
	return counts
}

func ideal(weights []fleet.Weight) []float64 {
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
	for _, c := range []struct {
		name   string
		n      int
		weight func(int) fleet.Weight
	}{
		{"4 even", 4, even},
		{"14 even", 14, even},
		{"18 uneven", 18, uneven},
		{"60 uneven", 60, uneven},
	} {
		var chosen, baseline quality
		chosen.measure(flow.BuildTable, c.n, c.weight)
		baseline.measure(maglev, c.n, c.weight)
		for _, q := range []struct {
			name string
			quality
		}{{"rendezvous", chosen}, {"maglev", baseline}} {
			t.Logf("%-10s %-10s deviation %.4f, max/mean %.3f, moved/least %.3f",
				c.name, q.name, q.deviation, q.worst, float64(q.moved)/float64(q.leastMoved))
		}
		is.True(float64(chosen.moved) <= 1.1*float64(chosen.leastMoved))
	}
}

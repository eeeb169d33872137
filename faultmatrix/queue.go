package faultmatrix

import (
	"container/heap"
	"time"
)

// queue holds what is to happen, ordered by time and then by insertion.
type queue struct {
	items []item
	next  uint64
}

type item struct {
	at    time.Time
	order uint64
	do    func()
}

func (q *queue) push(at time.Time, do func()) {
	q.next++
	heap.Push(q, item{at: at, order: q.next, do: do})
}

// Len implements heap.Interface.
func (q *queue) Len() int { return len(q.items) }

// Less implements heap.Interface.
func (q *queue) Less(i, j int) bool {
	a, b := q.items[i], q.items[j]
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return a.order < b.order
}

// Swap implements heap.Interface.
func (q *queue) Swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { q.items = append(q.items, x.(item)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(q.items) - 1
	it := q.items[last]
	q.items[last] = item{}
	q.items = q.items[:last]
	return it
}

// popEvent removes and returns what happens next.
func (w *World) popEvent() item { return heap.Pop(&w.events).(item) }

package faultmatrix

import (
	"container/heap"
	"time"
)

// eventQueue is a heap of pending events, ordered by time and then by insertion.
type eventQueue struct {
	events   []event
	inserted uint64
}

type event struct {
	at    time.Time
	order uint64
	do    func()
}

func (q *eventQueue) push(at time.Time, do func()) {
	q.inserted++
	heap.Push(q, event{at: at, order: q.inserted, do: do})
}

// Len implements heap.Interface.
func (q *eventQueue) Len() int { return len(q.events) }

// Less implements heap.Interface.
func (q *eventQueue) Less(i, j int) bool {
	a, b := q.events[i], q.events[j]
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return a.order < b.order
}

// Swap implements heap.Interface.
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { q.events = append(q.events, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(q.events) - 1
	next := q.events[last]
	q.events[last] = event{}
	q.events = q.events[:last]
	return next
}

// popEvent removes and returns the next event.
func (sim *Simulation) popEvent() event { return heap.Pop(&sim.queue).(event) }

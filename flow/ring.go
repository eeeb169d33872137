package flow

import "sync"

// ring is a bounded queue that is safe for concurrent use. The zero value is
// empty and holds nothing until resize.
type ring[T any] struct {
	mu    sync.Mutex
	items []T
	first int
	n     int
}

// resize sets the capacity, if it has none yet.
func (q *ring[T]) resize(capacity int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.items == nil {
		q.items = make([]T, capacity)
	}
}

// add appends an item and reports whether there was room.
func (q *ring[T]) add(item T) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.n == len(q.items) {
		return false
	}
	q.items[(q.first+q.n)%len(q.items)] = item
	q.n++
	return true
}

// push appends an item, in place of the oldest if there is no room.
func (q *ring[T]) push(item T) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) == 0 {
		return
	}
	if q.n == len(q.items) {
		q.first = (q.first + 1) % len(q.items)
		q.n--
	}
	q.items[(q.first+q.n)%len(q.items)] = item
	q.n++
}

// take removes the oldest item.
func (q *ring[T]) take() (item T, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.n == 0 {
		return item, false
	}
	item = q.items[q.first]
	q.first = (q.first + 1) % len(q.items)
	q.n--
	return item, true
}

// each calls visit with every item, oldest first.
func (q *ring[T]) each(visit func(T)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range q.n {
		visit(q.items[(q.first+i)%len(q.items)])
	}
}

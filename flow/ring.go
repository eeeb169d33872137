package flow

import "sync"

// ring is a bounded queue that is safe for concurrent use. The zero value has
// capacity zero until allocate is called.
type ring[T any] struct {
	mu     sync.Mutex
	items  []T
	head   int
	length int
}

// allocate sets the capacity, unless it is already set.
func (q *ring[T]) allocate(capacity int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.items == nil {
		q.items = make([]T, capacity)
	}
}

// tryPush appends an item and reports whether there was room.
func (q *ring[T]) tryPush(item T) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.length == len(q.items) {
		return false
	}
	q.items[(q.head+q.length)%len(q.items)] = item
	q.length++
	return true
}

// pushEvicting appends an item, evicting the oldest if the queue is full.
func (q *ring[T]) pushEvicting(item T) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) == 0 {
		return
	}
	if q.length == len(q.items) {
		q.head = (q.head + 1) % len(q.items)
		q.length--
	}
	q.items[(q.head+q.length)%len(q.items)] = item
	q.length++
}

// pop removes and returns the oldest item.
func (q *ring[T]) pop() (item T, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.length == 0 {
		return item, false
	}
	item = q.items[q.head]
	q.head = (q.head + 1) % len(q.items)
	q.length--
	return item, true
}

// each calls visit for every item, oldest first.
func (q *ring[T]) each(visit func(T)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range q.length {
		visit(q.items[(q.head+i)%len(q.items)])
	}
}

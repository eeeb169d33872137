package decisionlog

import (
	"io"
	"sync"
	"sync/atomic"
)

// DefaultQueue is how many lines wait for the reader of the log at most.
const DefaultQueue = 512

// Queue is a writer that never waits: lines for which there is no room are
// dropped and counted. Use NewQueue.
type Queue struct {
	lines   chan []byte
	dropped atomic.Uint64
	written sync.WaitGroup
}

// NewQueue returns a queue whose lines are written to w by a goroutine of its own.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, DefaultQueue)}
	q.written.Go(func() { q.run(w) })
	return q
}

// Write takes in one line. It always succeeds.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Close waits until what is queued is written. Nothing may be written after it.
func (q *Queue) Close() {
	close(q.lines)
	q.written.Wait()
}

func (q *Queue) run(w io.Writer) {
	for line := range q.lines {
		_, _ = w.Write(line)
	}
}

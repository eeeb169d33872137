package decisionlog

import (
	"io"
	"sync"
	"sync/atomic"
)

// DefaultQueueLines is the maximum number of lines that wait to be written.
const DefaultQueueLines = 512

// Queue is an io.Writer that never blocks: lines for which there is no room are dropped
// and counted. Use NewQueue to create one.
type Queue struct {
	lines   chan []byte
	dropped atomic.Uint64
	writer  sync.WaitGroup
}

// NewQueue returns a queue whose lines a goroutine writes to w.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, DefaultQueueLines)}
	q.writer.Go(func() { q.writeLines(w) })
	return q
}

// Write queues one line. It never fails.
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

// Close waits until the queued lines are written. Write must not be called after it.
func (q *Queue) Close() {
	close(q.lines)
	q.writer.Wait()
}

func (q *Queue) writeLines(w io.Writer) {
	for line := range q.lines {
		_, _ = w.Write(line)
	}
}

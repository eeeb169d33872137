package decisionlog_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/decisionlog"
)

var start = time.Unix(1000, 0)

func TestBudget(t *testing.T) {
	is := is.New(t)
	limiter := decisionlog.Limiter{LinesPerSecond: 2}
	for i, want := range []bool{true, true, false, false} {
		allowed, omitted := limiter.Allow(start.Add(time.Duration(i)*time.Millisecond), "placed")
		is.Equal(allowed, want)
		is.Equal(len(omitted), 0)
	}
	allowed, _ := limiter.Allow(start, "reset") // another kind has a limit of its own
	is.True(allowed)
	allowed, omitted := limiter.Allow(start.Add(time.Second), "placed")
	is.True(allowed)
	is.Equal(omitted, []decisionlog.Omitted{{Kind: "placed", Lines: 2}})
}

func TestOmittedLinesAreCounted(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	now := start
	log := decisionlog.Log{Logger: hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true}), Now: func() time.Time { return now }}
	for range decisionlog.DefaultLinesPerSecond + 7 {
		log.Line("placed", "flow", "a")
	}
	now = now.Add(time.Second)
	log.Line("placed", "flow", "b")
	is.Equal(strings.Count(out.String(), `"@message":"placed"`), decisionlog.DefaultLinesPerSecond+1)
	is.True(strings.Contains(out.String(), `"lines":7`))
}

// blockedWriter is a pipe whose reader has stopped reading.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return len(b), nil
}

func TestFullPipeDelaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pipe := blockedWriter{make(chan struct{})}
		queue := decisionlog.NewQueue(pipe)
		for range 3 * decisionlog.DefaultQueueLines {
			_, err := queue.Write([]byte("line\n")) // a blocking write would deadlock the synctest bubble
			is.NoErr(err)
		}
		is.True(queue.Dropped() >= 2*decisionlog.DefaultQueueLines-1)
		close(pipe.release)
		queue.Close()
	})
}

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
	b := decisionlog.Budget{Lines: 2}
	for i, want := range []bool{true, true, false, false} {
		allowed, omitted := b.Allow(start.Add(time.Duration(i)*time.Millisecond), "placed")
		is.Equal(allowed, want)
		is.Equal(len(omitted), 0)
	}
	allowed, _ := b.Allow(start, "reset") // another kind has a budget of its own
	is.True(allowed)
	allowed, omitted := b.Allow(start.Add(time.Second), "placed")
	is.True(allowed)
	is.Equal(omitted, []decisionlog.Omitted{{Kind: "placed", Lines: 2}})
}

func TestOmittedLinesAreCounted(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	now := start
	l := decisionlog.Log{Logger: hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true}), Now: func() time.Time { return now }}
	for range decisionlog.DefaultLines + 7 {
		l.Line("placed", "flow", "a")
	}
	now = now.Add(time.Second)
	l.Line("placed", "flow", "b")
	is.Equal(strings.Count(out.String(), `"@message":"placed"`), decisionlog.DefaultLines+1)
	is.True(strings.Contains(out.String(), `"lines":7`))
}

// stuck is a pipe whose reader has stopped.
type stuck struct{ release chan struct{} }

func (s stuck) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

func TestFullPipeDelaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pipe := stuck{make(chan struct{})}
		q := decisionlog.NewQueue(pipe)
		for range 3 * decisionlog.DefaultQueue {
			_, err := q.Write([]byte("line\n")) // would deadlock the bubble if it waited
			is.NoErr(err)
		}
		is.True(q.Dropped() >= 2*decisionlog.DefaultQueue-1)
		close(pipe.release)
		q.Close()
	})
}

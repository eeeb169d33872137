package catalogue_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
)

// TestSilentWatchIsNoticedInTime lets a watch fall silent right after a change
// and adds up the time until the change is known.
func TestSilentWatchIsNoticedInTime(t *testing.T) {
	for _, bound := range []time.Duration{3 * time.Second, 5 * time.Second} {
		is := is.New(t)
		f := catalogue.Follower{Source: catalogue.Configurations, Bound: bound}
		is.True(f.Next().Whole)
		f.Answered(7)
		silent := f.Next()
		is.Equal(silent.After, catalogue.Version(7))
		pause, lost := f.Failed()
		is.True(lost)
		again := f.Next()
		is.Equal(again.Wait, 0*time.Second) // asks for an immediate answer
		is.True(silent.Timeout+pause+again.Timeout < bound)
		is.True(f.Answered(9))
	}
}

func TestForgottenHistoryIsListedAnew(t *testing.T) {
	is := is.New(t)
	f := catalogue.Follower{Bound: 3 * time.Second}
	is.True(f.Next().Whole)
	is.True(!f.Next().Exact) // an old list will do: what has changed since can be asked for
	f.Answered(7)
	f.Forgotten()
	is.True(f.Next().Whole)
	is.True(f.Next().Exact)
}

func TestVersionNeverGoesBack(t *testing.T) {
	is := is.New(t)
	f := catalogue.Follower{Bound: 3 * time.Second}
	f.Answered(7)
	f.Answered(5)
	is.Equal(f.Next().After, catalogue.Version(7))
}

// TestForgottenHistoryStaysForgotten is the endless loop of a reader that takes
// the version it knows from elsewhere for one that the store still has.
func TestForgottenHistoryStaysForgotten(t *testing.T) {
	is := is.New(t)
	f := catalogue.Follower{Bound: 3 * time.Second}
	f.Answered(7)
	f.Forgotten()
	f.Learned(7)
	is.True(f.Next().Whole)
	f.Learned(9) // a peer knows what has changed since
	is.Equal(f.Next().After, catalogue.Version(9))
}

// TestLongListGetsTime is a list of many servers over a slow link, which takes
// longer than a call usually may.
func TestLongListGetsTime(t *testing.T) {
	is := is.New(t)
	f := catalogue.Follower{Source: catalogue.Servers, Bound: 5 * time.Second}
	waited := time.Duration(0)
	for f.Next().Timeout < 2*time.Second {
		waited += f.Next().Timeout
		pause, _ := f.Failed()
		waited += pause
	}
	is.True(waited < 8*time.Second)
}

// TestFloodOfChangesIsTakenTogether is the load of servers that start together. A single
// change, as of a configuration, waits for nothing.
func TestFloodOfChangesIsTakenTogether(t *testing.T) {
	is := is.New(t)
	f := catalogue.Follower{Source: catalogue.Servers}
	now := time.Unix(1_700_000_000, 0)
	is.Equal(f.Rest(now, true), time.Duration(0))
	rested := time.Duration(0)
	for range 50 {
		now = now.Add(10 * time.Millisecond)
		rested += f.Rest(now, true)
	}
	is.True(rested >= 10*time.Second)
	is.Equal(f.Rest(now, false), time.Duration(0))
	is.Equal(f.Rest(now.Add(2*time.Second), true), time.Duration(0))
}

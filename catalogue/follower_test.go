package catalogue_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
)

// TestSilentWatchIsNoticedInTime lets a watch become unresponsive right after a change
// and adds up the time until the change is read: it must stay below the bound.
func TestSilentWatchIsNoticedInTime(t *testing.T) {
	for _, bound := range []time.Duration{3 * time.Second, 5 * time.Second} {
		is := is.New(t)
		follower := catalogue.Follower{Source: catalogue.Configurations, Bound: bound}
		is.True(follower.Next().Full)
		follower.Succeeded(7)
		unresponsive := follower.Next()
		is.Equal(unresponsive.After, catalogue.Version(7))
		pause, lost := follower.Failed()
		is.True(lost)
		retry := follower.Next()
		is.Equal(retry.Wait, 0*time.Second) // requests an immediate response
		is.True(unresponsive.Timeout+pause+retry.Timeout < bound)
		is.True(follower.Succeeded(9))
	}
}

func TestForgottenHistoryIsListedAnew(t *testing.T) {
	is := is.New(t)
	follower := catalogue.Follower{Bound: 3 * time.Second}
	is.True(follower.Next().Full)
	is.True(!follower.Next().Linearizable) // a stale list suffices: the changes since can be read
	follower.Succeeded(7)
	follower.HistoryExpired()
	is.True(follower.Next().Full)
	is.True(follower.Next().Linearizable)
}

func TestVersionNeverGoesBack(t *testing.T) {
	is := is.New(t)
	follower := catalogue.Follower{Bound: 3 * time.Second}
	follower.Succeeded(7)
	follower.Succeeded(5)
	is.Equal(follower.Next().After, catalogue.Version(7))
}

// TestForgottenHistoryStaysForgotten guards against a reader that watches forever from
// a version that the store no longer has, because a peer has supplied the same version.
func TestForgottenHistoryStaysForgotten(t *testing.T) {
	is := is.New(t)
	follower := catalogue.Follower{Bound: 3 * time.Second}
	follower.Succeeded(7)
	follower.HistoryExpired()
	follower.Advance(7)
	is.True(follower.Next().Full)
	follower.Advance(9) // a peer has the later changes
	is.Equal(follower.Next().After, catalogue.Version(9))
}

// TestLongListGetsTime guards against a list that never completes: many servers over a
// slow link take longer than the usual timeout of a call.
func TestLongListGetsTime(t *testing.T) {
	is := is.New(t)
	follower := catalogue.Follower{Source: catalogue.Servers, Bound: 5 * time.Second}
	waited := time.Duration(0)
	for follower.Next().Timeout < 2*time.Second {
		waited += follower.Next().Timeout
		pause, _ := follower.Failed()
		waited += pause
	}
	is.True(waited < 8*time.Second)
}

// TestFloodOfChangesIsTakenTogether guards against one call for each change when many
// servers start together. An isolated change, as of a configuration, must not wait.
func TestFloodOfChangesIsTakenTogether(t *testing.T) {
	is := is.New(t)
	follower := catalogue.Follower{Source: catalogue.Servers}
	now := time.Unix(1_700_000_000, 0)
	is.Equal(follower.Pause(now, true), time.Duration(0))
	paused := time.Duration(0)
	for range 50 {
		now = now.Add(10 * time.Millisecond)
		paused += follower.Pause(now, true)
	}
	is.True(paused >= 10*time.Second)
	is.Equal(follower.Pause(now, false), time.Duration(0))
	is.Equal(follower.Pause(now.Add(2*time.Second), true), time.Duration(0))
}

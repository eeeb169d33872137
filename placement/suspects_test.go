package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/placement"
)

func TestSuspicionRisesAndEnds(t *testing.T) {
	is := is.New(t)
	var s placement.Suspects
	is.True(!s.Repeated(start, 1)) // one repetition is a lost packet
	is.True(!s.Suspected(start, 1))
	is.True(s.Repeated(start, 1))
	is.True(s.Suspected(start, 1))
	is.True(!s.Suspected(start.Add(placement.DefaultSuspicion), 1))
}

func TestAnswerEndsSuspicion(t *testing.T) {
	is := is.New(t)
	var s placement.Suspects
	s.Repeated(start, 1)
	is.True(!s.Answered(start, 1))
	is.True(!s.Repeated(start, 1)) // counts anew after an answer
	is.True(s.Repeated(start, 1))
	is.True(s.Answered(start, 1))
	is.True(!s.Suspected(start, 1))
}

func TestRepetitionsFarApartRaiseNoSuspicion(t *testing.T) {
	is := is.New(t)
	var s placement.Suspects
	s.Repeated(start, 1)
	is.True(!s.Repeated(start.Add(placement.DefaultSuspicion+time.Millisecond), 1))
}

func TestOneProbeAtATime(t *testing.T) {
	is := is.New(t)
	var r placement.Reach
	const server = catalogue.Cookie(1)
	is.True(r.Doubt(server))
	is.True(!r.Doubt(server))
	is.True(r.Probed(start, server, placement.Silent, true))
	is.True(r.Unreachable(server))
	is.True(!r.Probed(start, server, placement.Silent, true)) // known already
	r.Probed(start, server, placement.Accepted, true)
	is.True(!r.Unreachable(server))
	is.True(r.Doubt(server))
}

// TestSilenceIsNoProof is the load of a host whose link or processor is held up, and
// of a server whose queue of connections is full: no probe is answered, and callers
// go on.
func TestSilenceIsNoProof(t *testing.T) {
	const server = catalogue.Cookie(1)
	began, ended := start, start.Add(250*time.Millisecond)
	tests := []struct {
		name     string
		answered time.Duration // after the probe began; 0 for never
		found    placement.Evidence
		want     bool
	}{
		{"another server answers", 0, placement.Silent, true},
		{"no other server answers", 0, placement.Unclear, false},
		{"callers get answers meanwhile", 100 * time.Millisecond, placement.Silent, false},
		{"callers got answers before", -time.Millisecond, placement.Silent, true},
		{"the address refuses", 100 * time.Millisecond, placement.Refused, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var r placement.Reach
			r.Doubt(server)
			if test.answered != 0 {
				r.Answered(began.Add(test.answered), server)
			}
			is.Equal(r.Probed(began, server, test.found, true), test.want)
			is.Equal(r.Unreachable(server), test.want)
			is.True(!r.Doubt(server)) // it is probed on, or known
			is.True(r.Probed(ended, server, placement.Refused, true) != test.want)
		})
	}
}

func TestEvidenceNames(t *testing.T) {
	for _, e := range []placement.Evidence{placement.Unclear, placement.Accepted, placement.Refused, placement.Silent} {
		is := is.New(t)
		parsed, ok := placement.ParseEvidence(e.String())
		is.True(ok)
		is.Equal(parsed, e)
	}
	_, ok := placement.ParseEvidence("lost")
	is.New(t).True(!ok)
}

func TestOutage(t *testing.T) {
	is := is.New(t)
	var o placement.Outages
	is.True(!o.Ended(start, "a"))
	is.True(!o.Ended(start, "b"))
	is.True(!o.Ended(start.Add(100*time.Millisecond), "a"))
	is.True(o.Ended(start.Add(200*time.Millisecond), "a"))  // the third within a second
	is.True(!o.Ended(start.Add(300*time.Millisecond), "a")) // told already

	var slow placement.Outages
	for i := range 10 {
		is.True(!slow.Ended(start.Add(time.Duration(i)*600*time.Millisecond), "a")) // single crashes
	}
}

// TestFlowsAreKeptWhereNoServerIsLeft is the load of a data centre that is cut off from
// the only servers that get new flows. Its callers can wait, and lose by a reset.
func TestFlowsAreKeptWhereNoServerIsLeft(t *testing.T) {
	const server = catalogue.Cookie(1)
	is := is.New(t)
	var r placement.Reach
	r.Doubt(server)
	is.True(!r.Probed(start, server, placement.Silent, false))
	is.True(r.Unreachable(server)) // gets no new flow
	is.True(!r.Ended(server))
	is.True(!r.Probed(start, server, placement.Silent, false))
	is.True(r.Probed(start, server, placement.Silent, true)) // another one is back first
	is.True(r.Ended(server))
	is.True(!r.Probed(start, server, placement.Silent, false)) // ended once
	is.True(r.Ended(server))

	var answering placement.Reach
	answering.Doubt(server)
	is.True(!answering.Probed(start, server, placement.Silent, false))
	answering.Answered(start.Add(time.Millisecond), server)
	is.True(!answering.Probed(start, server, placement.Silent, true)) // callers get answers meanwhile
	is.True(!answering.Ended(server))

	var refused placement.Reach
	is.True(refused.Probed(start, server, placement.Refused, false)) // it has certainly ended
}

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
	is.True(r.Probed(server, false))
	is.True(r.Unreachable(server))
	is.True(!r.Probed(server, false)) // known already
	r.Probed(server, true)
	is.True(!r.Unreachable(server))
	is.True(r.Doubt(server))
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

package forwarding_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/forwarding"
	"github.com/rattanthread/rattanthread/placement"
)

// segment is a packet of an open flow and the sign that it should be.
type segment struct {
	after    time.Duration
	seq, ack uint32
	length   int
	want     forwarding.Sign
}

func TestSigns(t *testing.T) {
	tests := []struct {
		name     string
		segments []segment
	}{
		{"a request after a bare acknowledgement is no repetition", []segment{
			{0, 100, 1, 200, forwarding.Answer},
			{20 * time.Millisecond, 300, 900, 0, forwarding.Answer},
			{time.Second, 300, 900, 200, forwarding.NoSign},
		}},
		{"the same data after 200 ms is a repetition", []segment{
			{0, 100, 1, 200, forwarding.Answer},
			{200 * time.Millisecond, 100, 1, 200, forwarding.Repetition},
			{400 * time.Millisecond, 100, 1, 200, forwarding.Repetition},
		}},
		{"a copy made by the network is no repetition", []segment{
			{0, 100, 1, 200, forwarding.Answer},
			{time.Millisecond, 100, 1, 200, forwarding.NoSign},
		}},
		{"an acknowledgement that advances is an answer", []segment{
			{0, 100, 1, 200, forwarding.Answer},
			{200 * time.Millisecond, 100, 1, 200, forwarding.Repetition},
			{10 * time.Millisecond, 300, 2, 0, forwarding.Answer},
		}},
		{"an old packet shows nothing", []segment{
			{0, 300, 5, 200, forwarding.Answer},
			{200 * time.Millisecond, 100, 5, 200, forwarding.NoSign},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var f forwarding.Flows
			now := start
			p := opening()
			f.Opened(now, &p, 3, placement.Failed{})
			f.Seen(now, &p, 3)
			for _, s := range test.segments {
				now = now.Add(s.after)
				p.Seq, p.Ack, p.Length = s.seq, s.ack, s.length
				sign, _ := f.Seen(now, &p, 3)
				is.Equal(sign, s.want)
			}
		})
	}
}

func TestTimeOfAnAnswer(t *testing.T) {
	is := is.New(t)
	var f forwarding.Flows
	now := start
	p := opening()
	f.Opened(now, &p, 3, placement.Failed{})
	f.Seen(now, &p, 3)
	p.Seq, p.Ack, p.Length = 100, 50, 200
	f.Seen(now, &p, 3)                           // the request
	f.Seen(now.Add(200*time.Millisecond), &p, 3) // is sent again
	p.Seq, p.Ack, p.Length = 300, 90, 0          // and answered
	sign, took := f.Seen(now.Add(250*time.Millisecond), &p, 3)
	is.Equal(sign, forwarding.Answer)
	is.Equal(took, 250*time.Millisecond)
	p.Ack = 120 // more of the same answer
	_, took = f.Seen(now.Add(260*time.Millisecond), &p, 3)
	is.Equal(took, time.Duration(0))
}

// TestUnknownFlowShowsNothing is the load of flows that the fabric moves to another
// host while their server is silent: what they send again is no sign of life.
func TestUnknownFlowShowsNothing(t *testing.T) {
	is := is.New(t)
	var f forwarding.Flows
	p := opening()
	p.Kind, p.Seq, p.Ack, p.Length = forwarding.Segment, 100, 5, 200
	sign, _ := f.Seen(start, &p, 3)
	is.Equal(sign, forwarding.NoSign)
	sign, _ = f.Seen(start.Add(200*time.Millisecond), &p, 3)
	is.Equal(sign, forwarding.Repetition)
	p.Ack = 6
	sign, _ = f.Seen(start.Add(210*time.Millisecond), &p, 3)
	is.Equal(sign, forwarding.Answer)
}

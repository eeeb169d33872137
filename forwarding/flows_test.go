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
		{"of two packets the first is sent again", []segment{
			{0, 100, 1, 1200, forwarding.Answer},
			{0, 1300, 1, 200, forwarding.NoSign},
			{200 * time.Millisecond, 100, 1, 1200, forwarding.Repetition},
			{400 * time.Millisecond, 100, 1, 1200, forwarding.Repetition},
		}},
		{"an old packet shows nothing", []segment{
			{0, 100, 1, 200, forwarding.Answer},
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

// upload sends n packets of a flow, starting with the one of a number, a tenth of a
// millisecond apart, and returns the last sign and the time after it.
func upload(f *forwarding.Flows, now time.Time, first, n int) (forwarding.Sign, time.Time) {
	p := opening()
	p.Kind, p.Ack, p.Length = forwarding.Segment, 7, 1200
	var sign forwarding.Sign
	for i := range n {
		p.Seq = uint32(1 + (first+i)*p.Length)
		sign, _ = f.Seen(now, &p, 3)
		now = now.Add(100 * time.Microsecond)
	}
	return sign, now
}

// TestUploadSigns is the load of a caller that sends 80 kB: its server acknowledges
// them without sending any data, so that the caller's acknowledgements stay the same.
func TestUploadSigns(t *testing.T) {
	is := is.New(t)
	var f forwarding.Flows
	p := opening()
	f.Opened(start, &p, 3, placement.Failed{})
	_, now := upload(&f, start, 0, 15)
	sign, now := upload(&f, now, 15, 1)
	is.Equal(sign, forwarding.NoSign) // all may still be under way
	sign, now = upload(&f, now.Add(10*time.Millisecond), 16, 1)
	is.Equal(sign, forwarding.Answer) // one of them has arrived
	sign, now = upload(&f, now, 5, 1)
	is.Equal(sign, forwarding.NoSign) // a copy made by the network
	sign, now = upload(&f, now.Add(200*time.Millisecond), 1, 1)
	is.Equal(sign, forwarding.Repetition) // the oldest that is not acknowledged
	sign, now = upload(&f, now.Add(400*time.Millisecond), 1, 1)
	is.Equal(sign, forwarding.Repetition)
	sign, _ = upload(&f, now.Add(time.Millisecond), 17, 1)
	is.Equal(sign, forwarding.Answer)
}

// TestTimeOfAnAnswerToAnUpload counts from the last packet of the request: the
// transfer takes longer to a server that is further away, which is not busy.
func TestTimeOfAnAnswerToAnUpload(t *testing.T) {
	is := is.New(t)
	var f forwarding.Flows
	p := opening()
	f.Opened(start, &p, 3, placement.Failed{})
	_, now := upload(&f, start, 0, 16)
	_, now = upload(&f, now.Add(50*time.Millisecond), 16, 1)
	p.Kind, p.Seq, p.Ack = forwarding.Segment, 1+17*1200, 400
	_, took := f.Seen(now.Add(20*time.Millisecond), &p, 3)
	is.Equal(took, 20*time.Millisecond+100*time.Microsecond)
}

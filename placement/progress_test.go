package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/placement"
)

// segment is a packet of an open flow and the sign that it should be.
type segment struct {
	after    time.Duration
	seq, ack uint32
	length   int
	want     placement.Sign
}

func TestProgress(t *testing.T) {
	tests := []struct {
		name     string
		segments []segment
	}{
		{"a request after a bare acknowledgement is no repetition", []segment{
			{0, 100, 1, 200, placement.Answer},
			{20 * time.Millisecond, 300, 900, 0, placement.Answer},
			{time.Second, 300, 900, 200, placement.NoSign},
		}},
		{"the same data after 200 ms is a repetition", []segment{
			{0, 100, 1, 200, placement.Answer},
			{200 * time.Millisecond, 100, 1, 200, placement.Repetition},
			{400 * time.Millisecond, 100, 1, 200, placement.Repetition},
		}},
		{"a copy made by the network is no repetition", []segment{
			{0, 100, 1, 200, placement.Answer},
			{time.Millisecond, 100, 1, 200, placement.NoSign},
		}},
		{"an acknowledgement that advances is an answer", []segment{
			{0, 100, 1, 200, placement.Answer},
			{200 * time.Millisecond, 100, 1, 200, placement.Repetition},
			{10 * time.Millisecond, 300, 2, 0, placement.Answer},
		}},
		{"an old packet shows nothing", []segment{
			{0, 300, 5, 200, placement.Answer},
			{200 * time.Millisecond, 100, 5, 200, placement.NoSign},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var p placement.Progress
			now := time.Unix(1000, 0)
			p.Opened(now, 7, 3)
			p.Seen(now, 7, 3, 0, 0, 0)
			for _, s := range test.segments {
				now = now.Add(s.after)
				is.Equal(p.Seen(now, 7, 3, s.seq, s.ack, s.length), s.want)
			}
		})
	}
}

package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/placement"
)

func TestIsolation(t *testing.T) {
	const silent, answered = true, false
	tests := []struct {
		name   string
		probes []bool // of servers in turn, 200 ms apart
		want   bool
	}{
		{"nothing answers", []bool{silent, silent, silent, silent}, true},
		{"too few servers were asked", []bool{silent, silent}, false},
		{"it has just begun", []bool{silent, silent, silent}, false},
		{"one has answered", []bool{silent, silent, silent, answered, silent}, false},
		{"it is over", []bool{silent, silent, silent, silent, silent, answered}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var i placement.Isolation
			now := start
			for n, probe := range test.probes {
				now = start.Add(time.Duration(n) * 200 * time.Millisecond)
				if probe == silent {
					i.Unanswered(now, catalogue.Cookie(n+1))
				} else {
					i.Answered()
				}
			}
			is.New(t).Equal(i.Isolated(now), test.want)
		})
	}
}

package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/placement"
)

func TestIsolation(t *testing.T) {
	const noResponse, response = true, false
	tests := []struct {
		name   string
		probes []bool // one of each server, 200 ms apart
		want   bool
	}{
		{"no server responds", []bool{noResponse, noResponse, noResponse, noResponse}, true},
		{"too few servers probed", []bool{noResponse, noResponse}, false},
		{"too short", []bool{noResponse, noResponse, noResponse}, false},
		{"one server responds", []bool{noResponse, noResponse, noResponse, response, noResponse}, false},
		{"isolation ends", []bool{noResponse, noResponse, noResponse, noResponse, noResponse, response}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var detector placement.IsolationDetector
			now := start
			for n, probe := range test.probes {
				now = start.Add(time.Duration(n) * 200 * time.Millisecond)
				if probe == noResponse {
					detector.RecordNoResponse(now, catalogue.Cookie(n+1))
				} else {
					detector.RecordResponse()
				}
			}
			is.New(t).Equal(detector.Isolated(now), test.want)
		})
	}
}

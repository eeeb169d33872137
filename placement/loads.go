package placement

import (
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
)

// A server becomes busy when its average latency exceeds busyRatio times the lowest
// of its service plus busySlack. It stops being busy at the lower idle bound, which
// gives hysteresis.
const (
	busyRatio = 2.0
	busySlack = 10 * time.Millisecond
	idleRatio = 1.6
	idleSlack = 6 * time.Millisecond
)

const (
	// loadWeight is the weight of a new response in a server's moving average.
	loadWeight = 0.15
	// minLoadSamples is how many responses are needed to classify a server as busy.
	minLoadSamples = 8
	// loadExpiry is how long an average is valid without a new response.
	loadExpiry = 3 * time.Second
	// baselineGrowth is the factor by which each response raises the lowest average
	// of a service, so that the baseline follows a service that becomes slower.
	baselineGrowth = 1.0005
)

// LoadTracker detects busy servers by the response times that a host observes. The
// zero value is ready to use. It is not safe for concurrent use.
type LoadTracker struct {
	servers   map[catalogue.Cookie]*serverLoad
	baselines map[fleet.ServiceName]time.Duration
}

type serverLoad struct {
	average time.Duration
	samples int
	last    time.Time
	busy    bool
}

// RecordResponse records the response time of a server. It reports whether the
// server became busy or stopped being so.
func (l *LoadTracker) RecordResponse(now time.Time, server *catalogue.Server, latency time.Duration) bool {
	if l.servers == nil {
		l.servers = make(map[catalogue.Cookie]*serverLoad)
		l.baselines = make(map[fleet.ServiceName]time.Duration)
	}
	load := l.servers[server.Cookie]
	if load == nil || now.Sub(load.last) > loadExpiry {
		load = &serverLoad{average: latency}
		l.servers[server.Cookie] = load
	}
	load.average += time.Duration(loadWeight * float64(latency-load.average))
	load.samples++
	load.last = now
	if load.samples < minLoadSamples {
		return false
	}
	wasBusy := load.busy
	load.busy = l.checkBusy(server.Service, load)
	return load.busy != wasBusy
}

// checkBusy updates the baseline of a service and reports whether a server is busy
// relative to it.
func (l *LoadTracker) checkBusy(service fleet.ServiceName, load *serverLoad) bool {
	baseline, ok := l.baselines[service]
	baseline = time.Duration(float64(baseline) * baselineGrowth)
	if !ok || load.average < baseline {
		baseline = load.average
	}
	l.baselines[service] = baseline
	ratio, slack := busyRatio, busySlack
	if load.busy {
		ratio, slack = idleRatio, idleSlack
	}
	return load.average > time.Duration(ratio*float64(baseline))+slack
}

// Busy reports whether a server is busy.
func (l *LoadTracker) Busy(now time.Time, server catalogue.Cookie) bool {
	load := l.servers[server]
	return load != nil && load.busy && now.Sub(load.last) <= loadExpiry
}

// Baseline returns the lowest average latency of the servers of a service, or zero if none
// is known.
func (l *LoadTracker) Baseline(service fleet.ServiceName) time.Duration { return l.baselines[service] }

// Forget discards the state of a removed server.
func (l *LoadTracker) Forget(server catalogue.Cookie) { delete(l.servers, server) }

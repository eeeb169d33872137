package backend

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Policy is how a Picker selects one of several servers for a request.
type Policy uint8

// The policies. The zero value is LeastInFlight.
const (
	// LeastInFlight compares all servers by requests in flight divided by weight.
	LeastInFlight Policy = iota
	// TwoChoices compares two servers drawn at random by weight.
	TwoChoices
	// LatencyAware draws several servers at random by weight, and selects the one with
	// the fewest requests in flight divided by weight. Ties are broken by the
	// lowest recent latency.
	LatencyAware
)

// latencyAwareDraws is how many servers LatencyAware draws.
const latencyAwareDraws = 4

// Candidate is a server that may be selected.
type Candidate struct {
	Server fleet.ServerID
	Weight fleet.Weight
	// Slots is how many requests the server can run concurrently.
	Slots int
}

// Picker selects servers by the requests in flight from this host. It is safe for
// concurrent use. The zero value is ready to use.
type Picker struct {
	Policy Policy
	// UseReports enables the use of the load that servers report. Reports lag, and
	// hosts that use the same report select the same server.
	UseReports bool
	loads      sync.Map // fleet.ServerID to *serverLoad
}

// serverLoad is the load of one server.
type serverLoad struct {
	inFlight   atomic.Int64
	latency    atomic.Int64 // moving average, nanoseconds
	reported   atomic.Int64 // requests in flight from all hosts, as reported by the server
	reportedAt atomic.Int64 // Unix nanoseconds
}

// reportLifetime is how long a load report is used. Its weight declines linearly to
// zero in that time.
const reportLifetime = 2 * time.Second

// latencySmoothing is the inverse weight of one sample in the moving average.
const latencySmoothing = 8

func (p *Picker) load(id fleet.ServerID) *serverLoad {
	if l, ok := p.loads.Load(id); ok {
		return l.(*serverLoad)
	}
	l, _ := p.loads.LoadOrStore(id, &serverLoad{})
	return l.(*serverLoad)
}

// Start records that a request was sent to the server.
func (p *Picker) Start(id fleet.ServerID) {
	p.load(id).inFlight.Add(1)
}

// Done records that a request sent to the server ended after latency. A zero latency
// means that it is unknown.
func (p *Picker) Done(id fleet.ServerID, latency time.Duration) {
	load := p.load(id)
	load.inFlight.Add(-1)
	if latency <= 0 {
		return
	}
	old := load.latency.Load()
	if old == 0 {
		load.latency.Store(int64(latency))
		return
	}
	load.latency.Store(old + (int64(latency)-old)/latencySmoothing)
}

// Report records the number of requests in flight that a server reports.
func (p *Picker) Report(id fleet.ServerID, inFlight int, at time.Time) {
	l := p.load(id)
	l.reported.Store(int64(inFlight))
	l.reportedAt.Store(at.UnixNano())
}

// InFlight returns how many requests from this host are in flight at the server.
func (p *Picker) InFlight(id fleet.ServerID) int {
	return int(p.load(id).inFlight.Load())
}

// Pick returns the index of the selected candidate, or -1 if none has a positive
// weight. The function intn returns a random number in [0, n).
func (p *Picker) Pick(now time.Time, candidates []Candidate, intn func(n int) int) int {
	switch p.Policy {
	case TwoChoices:
		return p.pickSampled(now, candidates, 2, intn)
	case LatencyAware:
		return p.pickSampled(now, candidates, latencyAwareDraws, intn)
	default:
		return p.pickAll(now, candidates, intn)
	}
}

// pickAll compares all candidates and returns one of the best at random.
func (p *Picker) pickAll(now time.Time, candidates []Candidate, intn func(n int) int) int {
	best, ties := -1, 0
	var bestScore score
	for i, candidate := range candidates {
		if candidate.Weight == 0 {
			continue
		}
		current := p.score(now, candidate)
		switch {
		case best < 0 || current.less(bestScore, false):
			best, bestScore, ties = i, current, 1
		case !bestScore.less(current, false):
			ties++
			if intn(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

func (p *Picker) pickSampled(now time.Time, candidates []Candidate, draws int, intn func(n int) int) int {
	total := 0
	for _, c := range candidates {
		total += int(c.Weight)
	}
	if total == 0 {
		return -1
	}
	best := -1
	var bestScore score
	for range draws {
		index := drawByWeight(candidates, intn(total))
		if index == best {
			continue
		}
		if s := p.score(now, candidates[index]); best < 0 || s.less(bestScore, p.Policy == LatencyAware) {
			best, bestScore = index, s
		}
	}
	return best
}

func drawByWeight(candidates []Candidate, point int) int {
	for i, c := range candidates {
		point -= int(c.Weight)
		if point < 0 {
			return i
		}
	}
	return len(candidates) - 1
}

// score ranks a candidate.
type score struct {
	full    bool // all slots are taken
	load    float64
	latency int64
}

func (s score) less(other score, byLatency bool) bool {
	if s.full != other.full {
		return !s.full
	}
	if s.load != other.load {
		return s.load < other.load
	}
	return byLatency && s.latency < other.latency
}

func (p *Picker) score(now time.Time, candidate Candidate) score {
	load := p.load(candidate.Server)
	inFlight := float64(load.inFlight.Load())
	if p.UseReports {
		inFlight = max(inFlight, load.reportedLoad(now))
	}
	return score{
		full:    candidate.Slots > 0 && inFlight >= float64(candidate.Slots),
		load:    (inFlight + 1) / float64(candidate.Weight),
		latency: load.latency.Load(),
	}
}

// reportedLoad returns the reported load, scaled down linearly with the age of the
// report.
func (l *serverLoad) reportedLoad(now time.Time) float64 {
	age := now.Sub(time.Unix(0, l.reportedAt.Load()))
	if age < 0 || age >= reportLifetime {
		return 0
	}
	return (1 - float64(age)/float64(reportLifetime)) * float64(l.reported.Load())
}

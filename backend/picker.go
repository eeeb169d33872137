package backend

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Policy chooses among several servers that may get a request.
type Policy uint8

// The policies. The zero value is LeastInFlight.
const (
	// LeastInFlight compares all servers by requests in flight over weight.
	LeastInFlight Policy = iota
	// TwoChoices compares two servers drawn at random by weight.
	TwoChoices
	// Probed draws several servers, takes the least in flight over weight, and
	// among equals the one with the lowest recent latency.
	Probed
)

// probes is how many servers Probed draws.
const probes = 4

// Candidate is a server that may be chosen.
type Candidate struct {
	Server fleet.ServerID
	Weight fleet.Weight
	// Slots is how many requests the server runs at once.
	Slots int
}

// Picker chooses servers by the requests in flight from this host. It is safe
// for concurrent use; the zero value is ready.
type Picker struct {
	Policy Policy
	// Reports makes the load that servers reported count, too. Reports lag, and
	// hosts that follow the same report choose the same server.
	Reports bool
	loads   sync.Map // fleet.ServerID to *load
}

// load is what a Picker knows of one server.
type load struct {
	inFlight   atomic.Int64
	latency    atomic.Int64 // moving average, nanoseconds
	reported   atomic.Int64 // requests in flight from all hosts, by report
	reportedAt atomic.Int64 // Unix nanoseconds
}

// reportAge is how long a load report is used. It fades out in that time.
const reportAge = 2 * time.Second

// latencyShare is the inverse weight of one sample in the moving average.
const latencyShare = 8

func (p *Picker) load(id fleet.ServerID) *load {
	if l, ok := p.loads.Load(id); ok {
		return l.(*load)
	}
	l, _ := p.loads.LoadOrStore(id, &load{})
	return l.(*load)
}

// Start notes that a request was given to the server.
func (p *Picker) Start(id fleet.ServerID) {
	p.load(id).inFlight.Add(1)
}

// Done notes that a request given to the server ended after latency. A zero
// latency says nothing about the server's speed.
func (p *Picker) Done(id fleet.ServerID, latency time.Duration) {
	l := p.load(id)
	l.inFlight.Add(-1)
	if latency <= 0 {
		return
	}
	old := l.latency.Load()
	if old == 0 {
		l.latency.Store(int64(latency))
		return
	}
	l.latency.Store(old + (int64(latency)-old)/latencyShare)
}

// Report notes a server's own report of its requests in flight.
func (p *Picker) Report(id fleet.ServerID, inFlight int, at time.Time) {
	l := p.load(id)
	l.reported.Store(int64(inFlight))
	l.reportedAt.Store(at.UnixNano())
}

// InFlight returns how many requests of this host the server has.
func (p *Picker) InFlight(id fleet.ServerID) int {
	return int(p.load(id).inFlight.Load())
}

// Pick returns the index of the chosen candidate, or -1 if none has weight.
// The function intn returns a random number in [0, n).
func (p *Picker) Pick(now time.Time, candidates []Candidate, intn func(n int) int) int {
	switch p.Policy {
	case TwoChoices:
		return p.pickDrawn(now, candidates, 2, intn)
	case Probed:
		return p.pickDrawn(now, candidates, probes, intn)
	default:
		return p.pickAll(now, candidates, intn)
	}
}

// pickAll takes one of the best at random.
func (p *Picker) pickAll(now time.Time, candidates []Candidate, intn func(n int) int) int {
	best, equals := -1, 0
	var bestScore score
	for i, c := range candidates {
		if c.Weight == 0 {
			continue
		}
		s := p.score(now, c)
		switch {
		case best < 0 || s.less(bestScore, false):
			best, bestScore, equals = i, s, 1
		case !bestScore.less(s, false):
			equals++
			if intn(equals) == 0 {
				best = i
			}
		}
	}
	return best
}

func (p *Picker) pickDrawn(now time.Time, candidates []Candidate, draws int, intn func(n int) int) int {
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
		at := drawByWeight(candidates, intn(total))
		if at == best {
			continue
		}
		if s := p.score(now, candidates[at]); best < 0 || s.less(bestScore, p.Policy == Probed) {
			best, bestScore = at, s
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

// score orders candidates.
type score struct {
	full    bool // all slots are taken
	work    float64
	latency int64
}

func (s score) less(other score, byLatency bool) bool {
	if s.full != other.full {
		return !s.full
	}
	if s.work != other.work {
		return s.work < other.work
	}
	return byLatency && s.latency < other.latency
}

func (p *Picker) score(now time.Time, c Candidate) score {
	l := p.load(c.Server)
	work := float64(l.inFlight.Load())
	if p.Reports {
		work = max(work, l.reportedWork(now))
	}
	return score{
		full:    c.Slots > 0 && work >= float64(c.Slots),
		work:    (work + 1) / float64(c.Weight),
		latency: l.latency.Load(),
	}
}

// reportedWork is the reported load, fading out as the report ages.
func (l *load) reportedWork(now time.Time) float64 {
	age := now.Sub(time.Unix(0, l.reportedAt.Load()))
	if age < 0 || age >= reportAge {
		return 0
	}
	return (1 - float64(age)/float64(reportAge)) * float64(l.reported.Load())
}

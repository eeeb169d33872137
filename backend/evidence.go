package backend

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// EvidenceKind tells what was seen of a backend server.
type EvidenceKind string

// The kinds of evidence. All but EvidenceReport come from the host's own traffic.
const (
	EvidenceServed        EvidenceKind = "served"         // work was done; Latency is set for requests
	EvidenceConnectFailed EvidenceKind = "connect_failed" // refused, reset or timed out
	EvidenceRepeatedSYN   EvidenceKind = "repeated_syn"   // a caller retransmitted its SYN
	EvidenceShed          EvidenceKind = "shed"           // the server refused for load
	EvidenceReport        EvidenceKind = "report"         // the server's own health and load
)

// Evidence is one observation of a backend server.
type Evidence struct {
	Server  fleet.ServerID `cbor:"server"`
	Kind    EvidenceKind   `cbor:"kind"`
	Latency time.Duration  `cbor:"latency"` // of EvidenceServed; zero when unknown

	// The fields of EvidenceReport.
	Healthy bool `cbor:"healthy"`
	// Instance identifies the life of the server process, or is empty.
	Instance string `cbor:"instance"`
	// At is when the report was made; reports older than the last are ignored.
	At time.Time `cbor:"at"`
}

// The thresholds of the failure detector.
const (
	failuresToSuspect  = 3   // failures without served work in between
	successesToRecover = 2   // health reports or served requests in a row
	shedsToCool        = 5   // shed answers within one shedWindow
	shedShareToCool    = 0.5 // shed answers over all answers in the window
	shedWindow         = 2 * time.Second
	latencySteps       = 8   // slow samples in a row
	latencyStepFactor  = 4.0 // slow sample over the long-run mean
	latencyMinSamples  = 20  // before a long-run mean is trusted
	latencyGain        = 0.05
	servedFreshness    = 2 * time.Second // served work outweighs reports for so long
)

// detector turns the evidence about one server into findings.
type detector struct {
	failures    int
	successes   int
	windowStart time.Time
	sheds       int
	answers     int
	meanLatency time.Duration
	samples     int
	slow        int
	lastServed  time.Time
	lastReport  time.Time
	instance    string
}

// finding is what a detector concludes from one observation.
type finding uint8

const (
	findingNone    finding = iota
	findingFailing         // the server does not take work
	findingCold            // the server takes work but bears less than before, or restarted
	findingUp              // the server takes work
)

func (d *detector) observe(now time.Time, e Evidence) finding {
	switch e.Kind {
	case EvidenceServed:
		return d.served(now, e.Latency)
	case EvidenceConnectFailed, EvidenceRepeatedSYN:
		return d.failed()
	case EvidenceShed:
		return d.shed(now)
	case EvidenceReport:
		return d.report(now, e)
	}
	return findingNone
}

func (d *detector) served(now time.Time, latency time.Duration) finding {
	d.lastServed = now
	d.failures = 0
	d.countAnswer(now)
	if d.latencyStepped(latency) {
		return findingCold
	}
	return d.succeeded()
}

func (d *detector) succeeded() finding {
	d.successes++
	if d.successes < successesToRecover {
		return findingNone
	}
	return findingUp
}

func (d *detector) failed() finding {
	d.successes = 0
	d.failures++
	if d.failures < failuresToSuspect {
		return findingNone
	}
	d.failures = 0
	return findingFailing
}

func (d *detector) countAnswer(now time.Time) {
	if now.Sub(d.windowStart) > shedWindow {
		d.windowStart, d.sheds, d.answers = now, 0, 0
	}
	d.answers++
}

func (d *detector) shed(now time.Time) finding {
	d.countAnswer(now)
	d.sheds++
	if d.sheds < shedsToCool || float64(d.sheds) < shedShareToCool*float64(d.answers) {
		return findingNone
	}
	d.sheds, d.answers = 0, 0
	return findingCold
}

// latencyStepped reports a lasting step of the latency over its long-run mean.
func (d *detector) latencyStepped(latency time.Duration) bool {
	if latency <= 0 {
		return false
	}
	if d.samples >= latencyMinSamples && float64(latency) > latencyStepFactor*float64(d.meanLatency) {
		d.slow++
		if d.slow < latencySteps {
			return false
		}
		d.slow, d.samples = 0, 0
		return true
	}
	d.slow = 0
	d.samples++
	if d.samples == 1 {
		d.meanLatency = latency
		return false
	}
	d.meanLatency += time.Duration(latencyGain * float64(latency-d.meanLatency))
	return false
}

// report weighs a server's own report. It can lower what the server gets; it
// raises it only from nothing to the bound of a cold server.
func (d *detector) report(now time.Time, e Evidence) finding {
	if !e.At.After(d.lastReport) {
		return findingNone
	}
	d.lastReport = e.At
	restarted := d.instance != "" && e.Instance != "" && e.Instance != d.instance
	if e.Instance != "" {
		d.instance = e.Instance
	}
	if restarted {
		return findingCold
	}
	if e.Healthy {
		return d.succeeded()
	}
	if now.Sub(d.lastServed) < servedFreshness {
		return findingNone
	}
	return d.failed()
}

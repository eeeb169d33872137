package backend

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// EvidenceKind is the kind of an observation.
type EvidenceKind string

// The kinds of evidence. All but EvidenceReport come from the host's own traffic.
const (
	EvidenceServed        EvidenceKind = "served"         // the server did work; Latency is set for requests
	EvidenceConnectFailed EvidenceKind = "connect_failed" // refused, reset or timed out
	EvidenceRepeatedSYN   EvidenceKind = "repeated_syn"   // a caller retransmitted its SYN
	EvidenceShed          EvidenceKind = "shed"           // the server rejected work because of overload
	EvidenceReport        EvidenceKind = "report"         // the server reported its health and load
)

// Evidence is one observation of a backend server.
type Evidence struct {
	Server  fleet.ServerID `cbor:"server"`
	Kind    EvidenceKind   `cbor:"kind"`
	Latency time.Duration  `cbor:"latency"` // of EvidenceServed; zero when unknown

	// The fields of EvidenceReport.
	Healthy bool `cbor:"healthy"`
	// Instance identifies the server process, or is empty.
	Instance string `cbor:"instance"`
	// At is the time of the report. Reports that are not newer than the last are
	// ignored.
	At time.Time `cbor:"at"`
}

// Thresholds of the failure detector.
const (
	failuresToSuspect  = 3   // failures without served work in between
	successesToRecover = 2   // consecutive healthy reports or served requests
	shedsForCold       = 5   // rejections within one shedWindow
	shedShareForCold   = 0.5 // rejections over all responses in the window
	shedWindow         = 2 * time.Second
	latencyStepSamples = 8   // consecutive slow samples
	latencyStepFactor  = 4.0 // ratio of a slow sample to the long-run mean
	latencyMinSamples  = 20  // samples before the long-run mean is used
	latencyGain        = 0.05
	servedFreshness    = 2 * time.Second // how long served work overrides reports and single alarms
)

// detector derives findings from the evidence about one server.
type detector struct {
	failures    int
	successes   int
	windowStart time.Time
	sheds       int
	responses   int
	meanLatency time.Duration
	samples     int
	slowSamples int
	lastServed  time.Time
	lastReport  time.Time
	instance    string
}

// finding is the result of one observation.
type finding uint8

const (
	findingNone    finding = iota
	findingFailing         // the server does not accept work
	findingCold            // the server accepts work but has less capacity than before, or restarted
	findingUp              // the server accepts work
)

func (d *detector) observe(now time.Time, evidence Evidence) finding {
	switch evidence.Kind {
	case EvidenceServed:
		return d.recordServed(now, evidence.Latency)
	case EvidenceConnectFailed, EvidenceRepeatedSYN:
		return d.recordFailure()
	case EvidenceShed:
		return d.recordShed(now)
	case EvidenceReport:
		return d.evaluateReport(now, evidence)
	}
	return findingNone
}

func (d *detector) recordServed(now time.Time, latency time.Duration) finding {
	d.lastServed = now
	d.failures = 0
	d.countResponse(now)
	if d.latencyStepDetected(latency) {
		return findingCold
	}
	return d.recordSuccess()
}

func (d *detector) recordSuccess() finding {
	d.successes++
	if d.successes < successesToRecover {
		return findingNone
	}
	return findingUp
}

func (d *detector) recordFailure() finding {
	d.successes = 0
	d.failures++
	if d.failures < failuresToSuspect {
		return findingNone
	}
	d.failures = 0
	return findingFailing
}

func (d *detector) countResponse(now time.Time) {
	if now.Sub(d.windowStart) > shedWindow {
		d.windowStart, d.sheds, d.responses = now, 0, 0
	}
	d.responses++
}

func (d *detector) recordShed(now time.Time) finding {
	d.countResponse(now)
	d.sheds++
	if d.sheds < shedsForCold || float64(d.sheds) < shedShareForCold*float64(d.responses) {
		return findingNone
	}
	d.sheds, d.responses = 0, 0
	return findingCold
}

// latencyStepDetected adds a sample and reports whether the latency stays above
// latencyStepFactor times its long-run mean.
func (d *detector) latencyStepDetected(latency time.Duration) bool {
	if latency <= 0 {
		return false
	}
	if d.samples >= latencyMinSamples && float64(latency) > latencyStepFactor*float64(d.meanLatency) {
		d.slowSamples++
		if d.slowSamples < latencyStepSamples {
			return false
		}
		d.slowSamples, d.samples = 0, 0
		return true
	}
	d.slowSamples = 0
	d.samples++
	if d.samples == 1 {
		d.meanLatency = latency
		return false
	}
	d.meanLatency += time.Duration(latencyGain * float64(latency-d.meanLatency))
	return false
}

// evaluateReport evaluates a report from the server. A report can reduce the work
// that the server receives. It can increase it only from none to the bound of a cold
// server.
func (d *detector) evaluateReport(now time.Time, report Evidence) finding {
	if !report.At.After(d.lastReport) {
		return findingNone
	}
	d.lastReport = report.At
	restarted := d.instance != "" && report.Instance != "" && report.Instance != d.instance
	if report.Instance != "" {
		d.instance = report.Instance
	}
	if restarted {
		return findingCold
	}
	if report.Healthy {
		return d.recordSuccess()
	}
	if now.Sub(d.lastServed) < servedFreshness {
		return findingNone
	}
	return d.recordFailure()
}

package membership

import "time"

// Timing holds the intervals of a Table. Zero fields take defaults.
type Timing struct {
	Probe     time.Duration // between probes of members; default 500ms
	Retry     time.Duration // between the attempts of one probe; default 120ms
	Suspicion time.Duration // time to refute a suspicion; default 2s
	Gossip    time.Duration // between rounds of news while there is some; default 200ms
	Sync      time.Duration // between comparisons of whole tables; default 10s
	Settle    time.Duration // longest wait for acknowledgements; default 4s
	Pause     time.Duration // gap between ticks that makes this host stale; default 1s
	Forget    time.Duration // how long a dead member is remembered; default 1h
}

func (t Timing) withDefaults() Timing {
	setDefault(&t.Probe, 500*time.Millisecond)
	setDefault(&t.Retry, 120*time.Millisecond)
	setDefault(&t.Suspicion, 2*time.Second)
	setDefault(&t.Gossip, 200*time.Millisecond)
	setDefault(&t.Sync, 10*time.Second)
	setDefault(&t.Settle, 4*time.Second)
	setDefault(&t.Pause, time.Second)
	setDefault(&t.Forget, time.Hour)
	return t
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

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

// Bounds that do not depend on Timing.
const (
	helpers           = 3           // members asked for one indirect probe
	burstSuspects     = 3           // suspects at once that point to a partition or a lost rack
	burstProbes       = 4           // probes per interval then, each with one helper
	gossipFanout      = 3           // members told in one round of news
	leaveFanout       = 8           // members told of a planned stop
	newsFactor        = 2           // news is sent newsFactor * log2(hosts) times
	newsBytes         = 700         // estimated size of the news of one message
	snapshotClaims    = 200         // claims in one Snapshot
	maxRelays         = 256         // indirect probes under way on behalf of others
	firstAttempts     = 3           // pings to a new candidate before it is probed like a dead member
	isolatedPings     = 3           // lost members pinged in one interval by a host without peers
	confirmations     = 2           // peers that must confirm a stale host
	recentStates      = 16          // earlier local states that Settled remembers
	candidateLifetime = time.Minute // of a candidate after its last hint
	forgetInterval    = time.Second // between searches for members to forget
	joinSync          = time.Second // between fetches until a table has agreed with a peer's
)

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

package membership

import "time"

// Timing holds the intervals and timeouts of a Table. Zero fields mean defaults.
type Timing struct {
	Probe     time.Duration // between probes of members; default 500ms
	Retry     time.Duration // between the attempts of one probe; default 120ms
	Suspicion time.Duration // until an unrefuted suspect is marked dead; default 2s
	Gossip    time.Duration // between rounds of gossip while there are updates; default 200ms
	Sync      time.Duration // between comparisons of whole tables; default 10s
	Settle    time.Duration // limit of the wait for acknowledgements; default 4s
	Pause     time.Duration // gap between ticks that makes this host stale; default 1s
	Retention time.Duration // until a dead or departed member is removed; default 1h
}

// Limits and intervals that do not depend on Timing.
const (
	probeFanout           = 3           // relays of one indirect probe, and members pinged at once by a stale host
	burstSuspects         = 3           // simultaneous suspects that indicate a partition or a failed rack
	burstProbes           = 4           // probes per interval in a failure burst, each with one relay
	gossipFanout          = 3           // receivers of one round of gossip
	leaveFanout           = 8           // receivers of the announcement of a planned stop
	retransmitFactor      = 2           // each update is sent retransmitFactor * log2(hosts) times
	maxUpdateBytes        = 700         // estimated size of the updates in one message
	maxSnapshotClaims     = 200         // claims per Snapshot
	maxRelays             = 256         // concurrent indirect probes on behalf of others
	candidatePings        = 3           // pings to a new candidate before it is pinged as rarely as a dead member
	isolatedPings         = 3           // unreachable members pinged per interval by a host without peers
	requiredConfirmations = 2           // peers that must confirm a stale host
	maxRecentStates       = 16          // local states that Settled distinguishes
	candidateLifetime     = time.Minute // time after which an unlisted candidate is removed
	reapInterval          = time.Second // between searches for members to remove
	joinSyncInterval      = time.Second // between fetches until a peer has had the same list of live hosts
)

func (t Timing) withDefaults() Timing {
	setDefault(&t.Probe, 500*time.Millisecond)
	setDefault(&t.Retry, 120*time.Millisecond)
	setDefault(&t.Suspicion, 2*time.Second)
	setDefault(&t.Gossip, 200*time.Millisecond)
	setDefault(&t.Sync, 10*time.Second)
	setDefault(&t.Settle, 4*time.Second)
	setDefault(&t.Pause, time.Second)
	setDefault(&t.Retention, time.Hour)
	return t
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

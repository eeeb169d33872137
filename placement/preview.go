package placement

import (
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/load"
)

// penaltyNames are the names of the penalties in ascending order of severity.
var penaltyNames = [...]string{"remote", "slow", "cold", "full", "suspected", "failed", "unreachable", "exhausted"}

// Candidate is a server that was compared for a flow.
type Candidate struct {
	Server *catalogue.Server
	// Penalties are the reasons why other servers would be better. All candidates have the same.
	Penalties []string
	Estimate  load.Estimate
	// ExpectedLatency is relative to that of a server of usual speed with a free slot.
	ExpectedLatency float64
}

// Preview is what Choose would do with the first attempt of a flow.
type Preview struct {
	// Server is nil if no server may accept the flow.
	Server     *catalogue.Server
	Candidates []Candidate
	// Destinations are the data centres that the flow spills over to.
	Destinations []fleet.DataCentreID
}

// Preview returns what Choose would do with the first attempt of a flow, and why. It records nothing.
func (c *Chooser) Preview(now time.Time, pool *catalogue.Pool, flow uint64) Preview {
	var preview Preview
	if c.Estimate != nil && len(pool.All) > 0 {
		preview.Destinations = c.Spillover.Destinations(pool.All[0].Service, flow)
	}
	ranked := c.rankAll(now, pool, flow, &FailedAttempts{}, preview.Destinations)
	preview.Server = ranked.choice()
	for i := range ranked.count {
		ranked := &ranked.candidates[i]
		candidate := Candidate{Server: ranked.server, Penalties: namesOf(ranked.penalties), Estimate: ranked.estimate}
		if ranked.estimate.Known {
			candidate.ExpectedLatency = ranked.expectedLatency(true)
		}
		preview.Candidates = append(preview.Candidates, candidate)
	}
	return preview
}

// namesOf returns the names of a bit set of penalties.
func namesOf(penalties int) []string {
	var names []string
	for i, name := range penaltyNames {
		if penalties&(1<<i) != 0 {
			names = append(names, name)
		}
	}
	return names
}

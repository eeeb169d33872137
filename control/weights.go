package control

import (
	"math"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// weightScale is the fixed-point scale that preserves fractions of a weight.
const weightScale = 100

// weights returns the weight of each server for new work, from its declared
// weight, the share of its data centre and the rules of its service.
func (c *Core) weights(now time.Time, set config.Set) map[fleet.ServerID]fleet.Weight {
	shares := make(map[fleet.DataCentreID]float64)
	for _, d := range set.DataCentres {
		shares[d.Name] = c.dataCentres.Share(now, d.Name)
	}
	rules := make(map[fleet.ServiceName][]config.Rule)
	for _, r := range set.Rules {
		rules[r.Service] = append(rules[r.Service], r)
	}
	factors := make(map[fleet.ServiceName]map[fleet.DataCentreID]float64)
	for _, s := range set.Services {
		factors[s.Name] = dataCentreFactors(s.Name, set, shares, rules[s.Name])
	}
	weights := make(map[fleet.ServerID]fleet.Weight, len(set.Servers))
	for _, s := range set.Servers {
		weights[s.Name] = scaledWeight(s, factors[s.Service][s.DataCentre])
	}
	return weights
}

// scaledWeight returns the scaled weight of a server, which is at least 1 if the
// server accepts new work.
func scaledWeight(s config.Server, factor float64) fleet.Weight {
	if s.Drain || factor <= 0 || s.Weight == 0 {
		return 0
	}
	return fleet.Weight(math.Max(1, math.Round(float64(s.Weight)*weightScale*factor)))
}

// dataCentreFactors returns the factor of each data centre by which the weights of a
// service's servers there are multiplied.
func dataCentreFactors(
	name fleet.ServiceName,
	set config.Set,
	shares map[fleet.DataCentreID]float64,
	rules []config.Rule,
) map[fleet.DataCentreID]float64 {
	factors := make(map[fleet.DataCentreID]float64, len(shares))
	for id, share := range shares {
		if ruleAllows(rules, id) {
			factors[id] = share
		}
	}
	totals := make(map[fleet.DataCentreID]float64)
	for _, s := range set.Servers {
		if s.Service == name && !s.Drain {
			totals[s.DataCentre] += float64(s.Weight) * factors[s.DataCentre]
		}
	}
	for _, r := range rules {
		if r.Kind == config.RuleMaxShare {
			limitShare(r, totals, factors)
		}
	}
	return factors
}

func ruleAllows(rules []config.Rule, id fleet.DataCentreID) bool {
	for _, r := range rules {
		listed := slices.Contains(r.DataCentres, id)
		if r.Kind == config.RuleOnly && !listed || r.Kind == config.RuleExclude && listed {
			return false
		}
	}
	return true
}

// limitShare lowers the factors of the rule's data centres so that none exceeds
// the rule's share of the total weight, provided that others have weight.
func limitShare(rule config.Rule, totals, factors map[fleet.DataCentreID]float64) {
	for _, id := range rule.DataCentres {
		var others float64
		for other, total := range totals {
			if other != id {
				others += total
			}
		}
		limit := rule.MaxShare / (1 - rule.MaxShare) * others
		if totals[id] > limit && limit > 0 {
			factors[id] *= limit / totals[id]
			totals[id] = limit
		}
	}
}

package host

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rattanthread/rattanthread/flow"
)

// packetCounters caches the counters of one worker so that counting does not
// allocate. It is not safe for concurrent use.
type packetCounters struct {
	counters *counters
	actions  map[decisionKey]prometheus.Counter
	bytes    map[string]prometheus.Counter
}

type decisionKey struct {
	action flow.Action
	reason flow.Reason
}

func newPacketCounters(counters *counters) packetCounters {
	return packetCounters{
		counters: counters,
		actions:  make(map[decisionKey]prometheus.Counter),
		bytes:    make(map[string]prometheus.Counter),
	}
}

func (p *packetCounters) countDecision(action flow.Action, reason flow.Reason) {
	key := decisionKey{action, reason}
	counter, ok := p.actions[key]
	if !ok {
		counter = p.counters.packets.WithLabelValues(action.String(), string(reason))
		p.actions[key] = counter
	}
	counter.Inc()
}

func (p *packetCounters) countSent(action string, length int) {
	counter, ok := p.bytes[action]
	if !ok {
		counter = p.counters.bytes.WithLabelValues(action)
		p.bytes[action] = counter
	}
	counter.Add(float64(length))
}

package host

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rattanthread/rattanthread/flow"
)

// packetCounts caches one worker's counters, so that counting allocates nothing.
type packetCounts struct {
	counters *counters
	actions  map[decided]prometheus.Counter
	bytes    map[string]prometheus.Counter
}

type decided struct {
	action flow.Action
	reason flow.Reason
}

func newPacketCounts(c *counters) packetCounts {
	return packetCounts{
		counters: c,
		actions:  make(map[decided]prometheus.Counter),
		bytes:    make(map[string]prometheus.Counter),
	}
}

func (p *packetCounts) decided(action flow.Action, reason flow.Reason) {
	key := decided{action, reason}
	counter, ok := p.actions[key]
	if !ok {
		counter = p.counters.packets.WithLabelValues(action.String(), string(reason))
		p.actions[key] = counter
	}
	counter.Inc()
}

func (p *packetCounts) sent(action string, length int) {
	counter, ok := p.bytes[action]
	if !ok {
		counter = p.counters.bytes.WithLabelValues(action)
		p.bytes[action] = counter
	}
	counter.Add(float64(length))
}

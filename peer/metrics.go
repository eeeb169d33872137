package peer

import "github.com/prometheus/client_golang/prometheus"

// Reasons for dropping an outgoing message.
const (
	ReasonQueueFull    Reason = "queue_full"
	ReasonTooManyPeers Reason = "too_many_peers"
	ReasonNoAddress    Reason = "no_address"
	ReasonEncode       Reason = "encode"
	ReasonTooLong      Reason = "too_long"
	ReasonDial         Reason = "dial_failed"
	ReasonWrite        Reason = "write_failed"
	ReasonClosed       Reason = "closed"
)

// hubMetrics holds the metrics of a Hub.
type hubMetrics struct {
	sent          *prometheus.CounterVec // messages, by path
	bytes         *prometheus.CounterVec // sent and received, by path and direction
	kindBytes     *prometheus.CounterVec // bytes sent, by message kind
	received      *prometheus.CounterVec // accepted messages, by path
	refused       *prometheus.CounterVec // received messages, by reason
	dropped       *prometheus.CounterVec // outgoing messages, by reason
	reconnects    prometheus.Counter
	inboundLinks  prometheus.Gauge
	rejectedLinks *prometheus.CounterVec // inbound, by reason
}

func newMetrics(registerer prometheus.Registerer) *hubMetrics {
	metrics := &hubMetrics{
		sent:          newCounter("sent_total", "Messages sent to peers.", "path"),
		bytes:         newCounter("bytes_total", "Bytes of messages sent and received.", "path", "direction"),
		kindBytes:     newCounter("kind_bytes_total", "Bytes of messages sent, by kind of message.", "kind"),
		received:      newCounter("received_total", "Messages accepted from peers.", "path"),
		refused:       newCounter("refused_total", "Messages from peers that were refused.", "reason"),
		dropped:       newCounter("dropped_total", "Messages to peers that were dropped.", "reason"),
		rejectedLinks: newCounter("links_rejected_total", "Links from peers that were closed early.", "reason"),
		reconnects: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rattanthread_peer_reconnects_total", Help: "Attempts to open a link again.",
		}),
		inboundLinks: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "rattanthread_peer_links", Help: "Open links from peers.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(metrics.sent, metrics.bytes, metrics.kindBytes, metrics.received, metrics.refused,
			metrics.dropped, metrics.rejectedLinks, metrics.reconnects, metrics.inboundLinks)
	}
	return metrics
}

func newCounter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "rattanthread_peer_" + name, Help: help}, labels)
}

func (p Path) String() string {
	if p == PathDatagram {
		return "datagram"
	}
	return "link"
}

package peer

import "github.com/prometheus/client_golang/prometheus"

// The reasons to drop a message that was to be sent.
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

// counters are the metrics of a Hub.
type counters struct {
	sent     *prometheus.CounterVec // by path
	bytes    *prometheus.CounterVec // by path and direction
	kinds    *prometheus.CounterVec // bytes sent, by kind
	taken    *prometheus.CounterVec // by path
	refused  *prometheus.CounterVec // by reason
	dropped  *prometheus.CounterVec // by reason
	retries  prometheus.Counter
	links    prometheus.Gauge
	rejected *prometheus.CounterVec // links from peers, by reason
}

func newCounters(r prometheus.Registerer) *counters {
	c := &counters{
		sent:     counter("sent_total", "Messages sent to peers.", "path"),
		bytes:    counter("bytes_total", "Bytes of messages sent and received.", "path", "direction"),
		kinds:    counter("kind_bytes_total", "Bytes of messages sent, by kind of message.", "kind"),
		taken:    counter("received_total", "Messages accepted from peers.", "path"),
		refused:  counter("refused_total", "Messages from peers that were refused.", "reason"),
		dropped:  counter("dropped_total", "Messages to peers that were dropped.", "reason"),
		rejected: counter("links_rejected_total", "Links from peers that were closed early.", "reason"),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rattanthread_peer_reconnects_total", Help: "Attempts to open a link again.",
		}),
		links: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "rattanthread_peer_links", Help: "Open links from peers.",
		}),
	}
	if r != nil {
		r.MustRegister(c.sent, c.bytes, c.kinds, c.taken, c.refused, c.dropped, c.rejected, c.retries, c.links)
	}
	return c
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "rattanthread_peer_" + name, Help: help}, labels)
}

func (p Path) String() string {
	if p == PathDatagram {
		return "datagram"
	}
	return "link"
}

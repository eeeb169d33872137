package entry

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/declaration"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/load"
	"github.com/rattanthread/rattanthread/upstream"
)

// Timing and limits of the streams between data centres.
const (
	// loadsInterval is how often a host sends the loads of its data centre.
	loadsInterval = 400 * time.Millisecond
	// loadsTimeout is the maximum time between two messages of a stream, for its hello, and for sending
	// one. It is the time after which receivers discard the latest message.
	loadsTimeout = time.Second
	// loadsDialTimeout bounds the opening of a stream.
	loadsDialTimeout = 400 * time.Millisecond
	// loadsCheckInterval is how often a host checks to which data centres it needs streams. With
	// feedTimeout, the next host has them within 2 s after the first-ranked one has died.
	loadsCheckInterval = 200 * time.Millisecond
	// After a failure the next attempt follows after minLoadsBackoff, and twice as long after each
	// further one, at most maxLoadsBackoff: hosts of an earlier version do not have the path.
	minLoadsBackoff = 200 * time.Millisecond
	maxLoadsBackoff = 5 * time.Second
	// maxUselessTime is how long a host keeps a stream without a usable message. It exceeds
	// observationTime, so that hosts that have just started are kept.
	maxUselessTime = 3 * time.Second
	// observationTime is how long a host collects load reports before it states that services
	// have free capacity: its followers need up to 1 s to reach it again, and their reports 400 ms.
	observationTime = 2 * time.Second
	// usualLoadsBytes bounds a message with names of 10 bytes: 15 KB/s for four streams of 2.5 messages
	// a second. With longer names it may be exceeded to state minListed fractions.
	usualLoadsBytes = 1536
	minListed       = 8
	// maxLoadsMessageBytes bounds a message that is accepted. The longest one of this version, with
	// names of 63 bytes, has less than 5.6 KB.
	maxLoadsMessageBytes = 8 << 10
	// maxAcceptedLoads bounds the streams that a host serves: two hosts of each of 16 data centres.
	maxAcceptedLoads = 32
	// maxElsewhereBytes bounds the loads of other data centres in a load report, so that two thirds of
	// maxLoadReportBytes or 1,296 of maxPackedReportBytes remain for servers.
	maxElsewhereBytes = maxLoadReportBytes / 3
)

// loadsFault is the reason why a message of another data centre is rejected.
type loadsFault int

// Reasons why a message of another data centre is rejected.
const (
	loadsMalformed loadsFault = iota
	loadsTooLong
	// loadsWrongHost means that the message is not from the host, or not of its data centre.
	loadsWrongHost
	loadsAbsurd
	// loadsLate means that the message was under way for longer than loadsTimeout.
	loadsLate
	loadsFaultCount
)

var loadsFaultNames = [loadsFaultCount]string{"malformed", "too_long", "wrong_host", "absurd", "late"}

func (f loadsFault) String() string { return loadsFaultNames[f] }

// loadsHello is the only message of the host that opens a stream to another data centre.
type loadsHello struct {
	Host       fleet.HostID       `cbor:"host"`
	DataCentre fleet.DataCentreID `cbor:"data_centre"`
}

// loadsMessage holds the loads of the data centre of its sender.
type loadsMessage struct {
	Host       fleet.HostID       `cbor:"host"`
	DataCentre fleet.DataCentreID `cbor:"data_centre"`
	// Known is false while the sender does not know all servers, or has not collected reports for long
	// enough.
	Known bool `cbor:"known"`
	// Elapsed is the time since the hello. The receiver derives from it how long the message was
	// under way.
	Elapsed time.Duration `cbor:"elapsed"`
	load.DataCentreLoads
}

// exchangesElsewhere reports whether the host exchanges loads with other data centres.
func (h *Host) exchangesElsewhere() bool {
	return h.exchangesLoad() && h.loadExchange.Short != nil && h.loadExchange.ReceiveElsewhere != nil
}

// ServeLoads sends the loads of this data centre to a host of another one until ctx or the stream
// ends.
func (h *Host) ServeLoads(ctx context.Context, stream *Stream) {
	defer stream.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peer, err := receiveLoadsHello(ctx, stream)
	switch {
	case err != nil:
	case peer.DataCentre == h.Settings.DataCentre:
		err = errors.New("same data centre")
	case h.acceptedLoads.Add(1) > maxAcceptedLoads:
		h.acceptedLoads.Add(-1)
		err = errTooManyFeeds
	}
	if err != nil {
		h.log.Line("loads_refused", "peer", peer.Host, "error", err)
		return
	}
	defer h.acceptedLoads.Add(-1)
	streams := h.metrics.dataCentreLoadStreams.WithLabelValues(string(loadReportSent))
	streams.Inc()
	defer streams.Dec()
	var reader sync.WaitGroup
	defer reader.Wait()
	defer cancel()
	reader.Go(func() {
		defer cancel()
		for { // notices the end of the stream; messages after the hello are ignored
			if _, err := stream.Receive(ctx); err != nil {
				return
			}
		}
	})
	h.sendLoads(ctx, stream)
}

func receiveLoadsHello(ctx context.Context, stream *Stream) (loadsHello, error) {
	ctx, cancel := context.WithTimeout(ctx, loadsTimeout)
	defer cancel()
	data, err := stream.Receive(ctx)
	if err != nil {
		return loadsHello{}, errors.Wrap(err, "receive hello")
	}
	var hello loadsHello
	if len(data) > maxLoadsMessageBytes {
		return loadsHello{}, errors.Errorf("hello of %d bytes", len(data))
	}
	if err := cbor.Unmarshal(data, &hello); err != nil {
		return loadsHello{}, errors.Wrap(err, "decode hello")
	}
	if reason := declaration.CheckName(string(hello.DataCentre)); reason != "" {
		return loadsHello{}, errors.Errorf("data centre %s", reason)
	}
	return hello, nil
}

// sendLoads sends a message at once and every loadsInterval until ctx or the stream ends.
func (h *Host) sendLoads(ctx context.Context, stream *Stream) {
	opened := h.network.Now()
	tick := time.NewTicker(loadsInterval)
	defer tick.Stop()
	for h.exchangesElsewhere() && !h.stopping.Load() {
		now := h.network.Now()
		message := loadsMessage{Host: h.Settings.Host, DataCentre: h.Settings.DataCentre, Elapsed: now.Sub(opened)}
		if since := h.observedSince.Load(); since != 0 && now.Sub(time.Unix(0, since)) >= observationTime {
			h.mu.Lock()
			message.Known, message.DataCentreLoads = true, h.loadExchange.Short(now)
			h.mu.Unlock()
		}
		data, err := encodeLoads(message)
		if err != nil {
			return
		}
		sendCtx, cancel := context.WithTimeout(ctx, loadsTimeout)
		err = stream.Send(sendCtx, data)
		cancel()
		if err != nil {
			return
		}
		h.metrics.countDataCentreLoads(loadReportSent, len(data))
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// encodeLoads encodes a message. The admitted fractions are shortened to minListed while the message has
// more than usualLoadsBytes. With minListed of them, the longest message is one that hosts of the earlier
// version accept.
func encodeLoads(message loadsMessage) ([]byte, error) {
	message.Truncate(load.MaxShortServices)
	for longest := load.MaxAdmittedFractions; ; longest = max(longest*3/4, minListed) {
		message.TruncateAdmitted(longest)
		data, err := cbor.Marshal(message)
		if err != nil || len(data) <= usualLoadsBytes || longest == minListed {
			return data, err
		}
	}
}

// loadsClient keeps a stream to each other data centre while the host ranks first in its own.
type loadsClient struct {
	host *Host
}

func (c *loadsClient) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	streams := make(map[fleet.DataCentreID]context.CancelFunc)
	tick := time.NewTicker(loadsCheckInterval)
	defer tick.Stop()
	for {
		c.updateObservedSince()
		wanted := c.dataCentres()
		for dataCentre, stop := range streams {
			if !wanted[dataCentre] {
				stop()
				delete(streams, dataCentre)
			}
		}
		for dataCentre := range wanted {
			if streams[dataCentre] == nil {
				streamCtx, stop := context.WithCancel(ctx)
				streams[dataCentre] = stop
				running.Go(func() {
					(&loadsReceiver{host: c.host, dataCentre: dataCentre}).run(streamCtx)
				})
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// updateObservedSince records since when loads are exchanged by a host that knows all servers.
func (c *loadsClient) updateObservedSince() {
	current := c.host.snapshot.Load().catalogue
	switch {
	case !c.host.exchangesElsewhere(), !current.Ready(), !current.Complete():
		c.host.observedSince.Store(0)
	case c.host.observedSince.Load() == 0:
		c.host.observedSince.Store(c.host.network.Now().UnixNano())
	}
}

// dataCentres returns the data centres to which the host needs streams.
func (c *loadsClient) dataCentres() map[fleet.DataCentreID]bool {
	host := c.host
	if !host.exchangesElsewhere() || !host.ranksFirst.Load() || host.stopping.Load() {
		return nil
	}
	wanted := make(map[fleet.DataCentreID]bool)
	for _, peer := range host.snapshot.Load().catalogue.Hosts() {
		if peer.DataCentre != host.Settings.DataCentre {
			wanted[peer.DataCentre] = true
		}
	}
	return wanted
}

// loadsReceiver receives the loads of one other data centre.
type loadsReceiver struct {
	host       *Host
	dataCentre fleet.DataCentreID
	// hosts chooses the host to receive from.
	hosts upstream.Chooser
	// unavailable is set by the first of several failures, which is logged.
	unavailable bool
}

// errPeerLeft ends the stream to a host that is no longer registered.
var errPeerLeft = errors.New("the peer has left")

// run receives from the first-ranked host, and from the next one after a failure, until ctx ends.
func (r *loadsReceiver) run(ctx context.Context) {
	backoff := minLoadsBackoff
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if peer, ok := r.hosts.First(r.host.network.Now(), r.dataCentre, r.host.snapshot.Load().catalogue.Hosts()); ok {
			used, err := r.receive(ctx, peer)
			if ctx.Err() != nil {
				return
			}
			if used {
				backoff, r.unavailable = minLoadsBackoff, false
			}
			if !errors.Is(err, errPeerLeft) {
				r.hosts.Failed(r.host.network.Now(), peer.PeerAddress)
			}
			if !r.unavailable {
				r.host.log.Line("loads_lost", "peer", peer.ID, "data_centre", r.dataCentre, "error", err)
			}
			r.unavailable = true
		}
		timer.Reset(backoff)
		backoff = min(2*backoff, maxLoadsBackoff)
	}
}

// receive receives messages of a host until the stream fails. It reports whether one was usable.
func (r *loadsReceiver) receive(ctx context.Context, peer fleet.Host) (used bool, err error) {
	host := r.host
	dialCtx, cancel := context.WithTimeout(ctx, loadsDialTimeout)
	defer cancel()
	stream, err := host.network.DialLoads(dialCtx, peer.PeerAddress)
	if err != nil {
		return false, errors.Wrap(err, "dial")
	}
	defer stream.Close()
	data, err := cbor.Marshal(loadsHello{Host: host.Settings.Host, DataCentre: host.Settings.DataCentre})
	if err != nil {
		return false, errors.Wrap(err, "encode hello")
	}
	opened := host.network.Now()
	if err := stream.Send(dialCtx, data); err != nil {
		return false, errors.Wrap(err, "send hello")
	}
	streams := host.metrics.dataCentreLoadStreams.WithLabelValues(string(loadReportReceived))
	streams.Inc()
	defer streams.Dec()
	lastUsed := opened
	for {
		receiveCtx, cancel := context.WithTimeout(ctx, loadsTimeout)
		data, err := stream.Receive(receiveCtx)
		cancel()
		if err != nil {
			return used, errors.Wrap(err, "receive loads")
		}
		now := host.network.Now()
		if r.accept(now, now.Sub(opened), peer, data) {
			if !used {
				host.log.Line("loads_opened", "peer", peer.ID, "data_centre", r.dataCentre)
			}
			used, lastUsed = true, now
		}
		if now.Sub(lastUsed) > maxUselessTime {
			return used, errors.New("no usable message")
		}
		if !slices.Contains(host.snapshot.Load().catalogue.Hosts(), peer) {
			return used, errPeerLeft
		}
	}
}

// accept stores a message, or rejects and counts it. It reports whether the message says which
// services are short.
func (r *loadsReceiver) accept(now time.Time, sinceHello time.Duration, peer fleet.Host, data []byte) bool {
	host := r.host
	message, fault, err := r.decode(sinceHello, peer, data)
	if err == nil && message.Known {
		host.mu.Lock()
		fault, err = loadsAbsurd, host.loadExchange.ReceiveElsewhere(now, r.dataCentre, message.DataCentreLoads)
		host.mu.Unlock()
	}
	if err != nil {
		host.metrics.rejectedDataCentreLoads.WithLabelValues(fault.String()).Inc()
		host.log.Line("loads_rejected", "peer", peer.ID, "data_centre", r.dataCentre, "reason", fault.String(), "error", err)
		return false
	}
	host.metrics.countDataCentreLoads(loadReportReceived, len(data))
	return message.Known
}

// decode decodes and checks a message.
func (r *loadsReceiver) decode(sinceHello time.Duration, peer fleet.Host, data []byte) (loadsMessage, loadsFault, error) {
	var message loadsMessage
	if len(data) > maxLoadsMessageBytes {
		return message, loadsTooLong, errors.Errorf("%d bytes", len(data))
	}
	if err := cbor.Unmarshal(data, &message); err != nil {
		return message, loadsMalformed, err
	}
	if message.Host != peer.ID || message.DataCentre != r.dataCentre {
		return message, loadsWrongHost, errors.Errorf("loads of host %q in data centre %q", message.Host, message.DataCentre)
	}
	if message.Elapsed < 0 {
		return message, loadsAbsurd, errors.Errorf("elapsed %s", message.Elapsed)
	}
	if delay := sinceHello - min(message.Elapsed, sinceHello); delay > loadsTimeout {
		return message, loadsLate, errors.Errorf("under way for %s", delay)
	}
	return message, 0, nil
}

// shortenElsewhere shortens the loads of other data centres in a report to maxElsewhereBytes. What it
// omits is not known to the receivers.
func shortenElsewhere(entries []load.DataCentreEntry) []load.DataCentreEntry {
	for longest := load.MaxShortServices; len(entries) > 0; longest = longest * 3 / 4 {
		if data, err := cbor.Marshal(entries); err == nil && len(data) <= maxElsewhereBytes {
			break
		}
		if longest == 0 {
			entries = entries[:len(entries)-1]
		}
		for i := range entries {
			entries[i].Truncate(longest)
			entries[i].TruncateAdmitted(longest)
		}
	}
	return entries
}

// loadsPath is the URL path of the streams between data centres. It changes with the format of the
// messages.
const loadsPath = "/loads/1"

// loadsEndpoint accepts streams of other data centres at the address of the feeds. The zero value
// responds that the path does not exist.
type loadsEndpoint struct {
	accept atomic.Pointer[func(context.Context, *Stream)]
}

// serve accepts streams until ctx ends.
func (e *loadsEndpoint) serve(ctx context.Context, accept func(context.Context, *Stream)) error {
	e.accept.Store(&accept)
	defer e.accept.Store(nil)
	<-ctx.Done()
	return nil
}

// handler returns a handler that passes requests for other paths to the next one.
func (e *loadsEndpoint) handler(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", next)
	mux.HandleFunc(loadsPath, func(w http.ResponseWriter, r *http.Request) {
		accept := e.accept.Load()
		if accept == nil {
			http.NotFound(w, r)
			return
		}
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		(*accept)(r.Context(), newStream(conn, maxLoadsMessageBytes))
	})
	return mux
}

func dialLoads(ctx context.Context, address netip.AddrPort) (*Stream, error) {
	return dialStream(ctx, address, loadsPath, maxLoadsMessageBytes)
}

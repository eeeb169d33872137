package entry

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/load"
	"github.com/rattanthread/rattanthread/upstream"
)

// Timing and limits of the feeds between hosts.
const (
	// feedInterval is how often a host sends the ages of its sources.
	feedInterval = 400 * time.Millisecond
	// feedTimeout is the maximum time between two messages of a feed, and for sending one.
	feedTimeout = time.Second
	// upstreamRetryInterval is how often a host without an upstream looks for one.
	upstreamRetryInterval = time.Second
	// feedDialTimeout bounds the opening of a stream.
	feedDialTimeout = 400 * time.Millisecond
	// startupTimeout is how long a host without a catalogue waits for the store before it
	// contacts its seeds, and for an upstream before it tries another one.
	startupTimeout = 2 * time.Second
	// startupRetryInterval is how often a host without a catalogue looks for an upstream.
	startupRetryInterval = 300 * time.Millisecond
	// feedFanout is the number of children of a host in the feed tree of its data centre. Its
	// streams share packedReportBytesPerSecond, so that with more children, reports are sent less often:
	// by calculation one of 1.3 KB gets from the first of 98 hosts to another in 0.57 s with 4, 0.59 s
	// with 5, 0.65 s with 6 and 0.72 s with 8.
	feedFanout = 5
	// minFeeds is the least number of feeds that a host accepts.
	minFeeds = 16
	// feedsPerStrength is how many more feeds a host accepts per unit of strength, for hosts
	// that have lost their upstream or derive a different tree.
	feedsPerStrength = 8
	// maxFeedMessageBytes bounds the size of a feed message.
	maxFeedMessageBytes = 8 << 20
	// feedQueueLength is how many updates are queued for a slow subscriber.
	feedQueueLength = 256
)

// unknownAge is sent in place of an age that is not known; see feedMessage.Confirmed. Hosts of earlier
// versions date the records of such a source by it, so it exceeds all bounds, and its sums with delays
// do not overflow. The receivers that they pass it on to reject it.
const unknownAge = 100 * catalogue.MaxAge

// Stream is a message stream between two hosts. All fields must be set.
type Stream struct {
	Send    func(ctx context.Context, message []byte) error
	Receive func(ctx context.Context) ([]byte, error)
	Close   func()
}

// hello is the first message on a stream. It requests a feed from the given versions on.
type hello struct {
	Host     fleet.HostID                             `cbor:"host"`
	Versions [catalogue.SourceCount]catalogue.Version `cbor:"versions"`
	// Configured means that the host has a configuration: it could read the one of its version, or has
	// an earlier one. Hosts of earlier versions do not send it, and are sent the configuration.
	Configured bool `cbor:"configured,omitempty"`
	// FeedAddress is set by a host that requests no feed but announces its own, because it
	// has a catalogue.
	FeedAddress netip.AddrPort `cbor:"knows,omitzero"`
	// List is the digest of the host's list of servers, see loadMessage.
	List load.ListDigest `cbor:"list,omitempty"`
}

// feedMessage is a message of a feed.
type feedMessage struct {
	Updates []catalogue.Update `cbor:"answers,omitempty"`
	// Ages holds the time since each source was confirmed; Confirmed reports whether
	// each was confirmed at all. The age of one that was not has no meaning: it is unknownAge, or
	// the largest duration from hosts of earlier versions.
	Ages      [catalogue.SourceCount]time.Duration `cbor:"ages"`
	Confirmed [catalogue.SourceCount]bool          `cbor:"known"`
	// Versions holds the version of each source.
	Versions [catalogue.SourceCount]catalogue.Version `cbor:"versions"`
	// Elapsed is the time since the feed was requested. The receiver derives from it how long
	// the message was under way. Hosts of earlier versions do not send it.
	Elapsed time.Duration `cbor:"elapsed,omitempty"`
	// Loads is an encoded loadMessage, so that a faulty one is rejected by itself.
	Loads cbor.RawMessage `cbor:"loads,omitempty"`
}

// subscriber is a host that receives a feed from this one.
type subscriber struct {
	host        fleet.HostID
	requestedAt time.Time
	// subscription belongs to the control goroutine from the request on.
	subscription catalogue.Subscription
	updates      chan catalogue.Update
	// cancel ends the feed; rejected is set if there were too many feeds to accept it.
	cancel   context.CancelFunc
	rejected atomic.Bool
	loads    loadPeer
}

// subscriptionRequest asks the control goroutine to add or remove a subscriber.
type subscriptionRequest struct {
	subscriber  *subscriber
	unsubscribe bool
}

// ServeFeed sends the changes of this host's state to another one until ctx or the stream
// ends.
func (h *Host) ServeFeed(ctx context.Context, stream *Stream) {
	defer stream.Close()
	data, err := stream.Receive(ctx)
	if err != nil {
		return
	}
	var request hello
	if err := cbor.Unmarshal(data, &request); err != nil {
		h.log.Line("feed_refused", "error", err)
		return
	}
	if request.FeedAddress.IsValid() {
		h.announcedHosts.Add(h.network.Now(), request.FeedAddress)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sub := &subscriber{
		host: request.Host, requestedAt: h.network.Now(), subscription: catalogue.Subscription{Versions: request.Versions, Configured: request.Configured},
		updates: make(chan catalogue.Update, feedQueueLength), cancel: cancel,
		loads: loadPeer{host: h},
	}
	if !h.requestSubscription(ctx, subscriptionRequest{subscriber: sub}) {
		return
	}
	sub.loads.list.Store(uint64(request.List))
	sub.loads.connect(sub.host)
	var reader sync.WaitGroup
	reader.Go(func() {
		defer cancel()
		sub.loads.receiveReports(ctx, stream)
	})
	defer func() {
		cancel()
		reader.Wait()
		sub.loads.disconnect()
	}()
	err = h.sendMessages(ctx, stream, sub)
	if sub.rejected.Load() {
		h.log.Line("feed_refused", "peer", request.Host, "error", errTooManyFeeds)
		return
	}
	h.log.Line("feed_closed", "peer", request.Host, "error", err)
	h.requestSubscription(context.WithoutCancel(ctx), subscriptionRequest{subscriber: sub, unsubscribe: true})
}

// errTooManyFeeds is logged for a feed that is refused because maxFeeds is reached.
var errTooManyFeeds = errors.New("full")

// maxFeeds returns the maximum number of subscribers.
func (h *Host) maxFeeds() int {
	return minFeeds + feedsPerStrength*h.activeSettings.Load().Limits.strength()
}

// requestSubscription passes a request to the control goroutine. It returns false if the
// host or ctx ends first.
func (h *Host) requestSubscription(ctx context.Context, request subscriptionRequest) bool {
	select {
	case h.subscriptions <- request:
		return true
	case <-ctx.Done():
		return false
	case <-h.done:
		return false
	}
}

// sendMessages sends changes immediately, and the ages of the sources every feedInterval.
func (h *Host) sendMessages(ctx context.Context, stream *Stream, sub *subscriber) error {
	tick := time.NewTicker(feedInterval)
	defer tick.Stop()
	for {
		var updates []catalogue.Update
		var loads cbor.RawMessage
		select {
		case <-ctx.Done():
			return ctx.Err()
		case update := <-sub.updates:
			updates = append(updates, update)
		case <-tick.C:
			loads = sub.loads.report()
		}
		message := h.newFeedMessage(updates, sub)
		message.Loads = loads
		data, err := cbor.Marshal(message)
		if err != nil {
			return errors.Wrap(err, "encode update")
		}
		sendCtx, cancel := context.WithTimeout(ctx, feedTimeout)
		err = stream.Send(sendCtx, data)
		cancel()
		if err != nil {
			return errors.Wrap(err, "send update")
		}
	}
}

// newFeedMessage returns a message with the given and the queued updates of a subscriber and the
// state of this host. It reads the snapshot before the queue, so that a message holds all changes up
// to its versions.
func (h *Host) newFeedMessage(updates []catalogue.Update, sub *subscriber) feedMessage {
	state, now := h.snapshot.Load(), h.network.Now()
	message := feedMessage{Updates: appendQueued(sub.updates, updates), Versions: state.versions, Elapsed: now.Sub(sub.requestedAt)}
	for source, confirmedAt := range state.confirmed {
		age, known := catalogue.AgeAt(now, confirmedAt)
		if !known {
			age = unknownAge
		}
		message.Confirmed[source], message.Ages[source] = known, age
	}
	return message
}

func appendQueued(queue <-chan catalogue.Update, updates []catalogue.Update) []catalogue.Update {
	for {
		select {
		case update := <-queue:
			updates = append(updates, update)
		default:
			return updates
		}
	}
}

// decodeMessage decodes and validates a feed message.
func decodeMessage(data []byte) (feedMessage, error) {
	var message feedMessage
	if err := cbor.Unmarshal(data, &message); err != nil {
		return feedMessage{}, err
	}
	for _, update := range message.Updates {
		if update.Source < 0 || int(update.Source) >= catalogue.SourceCount {
			return feedMessage{}, errors.Errorf("unknown source %d", int(update.Source))
		}
	}
	for source, age := range message.Ages {
		if age < 0 {
			return feedMessage{}, errors.Wrapf(catalogue.ErrImpossibleAge, "source %d: negative", source)
		}
	}
	if message.Elapsed < 0 {
		return feedMessage{}, errors.Wrap(catalogue.ErrImpossibleAge, "elapsed: negative")
	}
	return message, nil
}

// addDelay adds the time for which the message was under way to the ages. It is at most the time
// since the receiver requested the feed, less that since the sender got the request. A source with an
// impossible age counts as unconfirmed from then on, and reject is called with it.
func (m *feedMessage) addDelay(sinceRequest time.Duration, reject func(catalogue.Source, error)) {
	delay := time.Duration(0)
	if m.Elapsed > 0 {
		delay = max(0, max(0, sinceRequest)-m.Elapsed)
	}
	for source := range catalogue.Source(catalogue.SourceCount) {
		if !m.Confirmed[source] {
			continue
		}
		if m.Ages[source] <= catalogue.MaxAge { // sums of two such times do not overflow
			m.Ages[source] += min(delay, catalogue.MaxAge)
		}
		if err := catalogue.CheckAge(m.Ages[source]); err != nil {
			m.Confirmed[source] = false
			reject(source, err)
		}
	}
}

// updates converts a message to updates of the catalogue. Records of a source that is not confirmed
// have no date.
func (m *feedMessage) updates(now time.Time) []catalogue.Update {
	updates := m.Updates
	for i, update := range updates {
		if m.Confirmed[update.Source] {
			updates[i].AsOf = now.Add(-m.Ages[update.Source])
		}
	}
	for source := range catalogue.Source(catalogue.SourceCount) {
		if m.Confirmed[source] {
			updates = append(updates, catalogue.Update{Source: source, Version: m.Versions[source], AsOf: now.Add(-m.Ages[source])})
		}
	}
	return updates
}

// slack returns how long all sources of a message remain fresh, except for the list of hosts,
// which may be stale.
func (h *Host) slack(message *feedMessage) time.Duration {
	slack := time.Hour
	for source := range catalogue.Source(catalogue.SourceCount) {
		switch {
		case source == catalogue.Hosts:
		case !message.Confirmed[source]:
			return 0
		default:
			slack = min(slack, upstream.Slack(h.bound(source), message.Ages[source]))
		}
	}
	return slack
}

func (h *Host) self() fleet.Host {
	return fleet.Host{
		ID:          h.Settings.Host,
		DataCentre:  h.Settings.DataCentre,
		PeerAddress: h.Settings.Listen.Peers,
		Strength:    h.Settings.Limits.strength(),
	}
}

// feedPath is the URL path of the feed endpoint. It changes with the format of the messages:
// hosts of different formats do not follow each other, but read the store.
const feedPath = "/feed/2"

// feedHandler returns the handler that upgrades requests for a feed to streams.
func feedHandler(accept func(context.Context, *Stream)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(feedPath, func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		accept(r.Context(), newStream(conn, maxFeedMessageBytes))
	})
	return mux
}

func dialFeed(ctx context.Context, address netip.AddrPort) (*Stream, error) {
	return dialStream(ctx, address, feedPath, maxFeedMessageBytes)
}

// dialStream opens a stream to a path at a host. Longer messages than maxBytes end it.
func dialStream(ctx context.Context, address netip.AddrPort, path string, maxBytes int64) (*Stream, error) {
	conn, response, err := websocket.Dial(ctx, "ws://"+address.String()+path, nil)
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return nil, err
	}
	return newStream(conn, maxBytes), nil
}

func newStream(conn *websocket.Conn, maxBytes int64) *Stream {
	conn.SetReadLimit(maxBytes)
	var once sync.Once
	return &Stream{
		Send: func(ctx context.Context, message []byte) error {
			return conn.Write(ctx, websocket.MessageBinary, message)
		},
		Receive: func(ctx context.Context) ([]byte, error) {
			_, message, err := conn.Read(ctx)
			return message, err
		},
		Close: func() { once.Do(func() { _ = conn.CloseNow() }) },
	}
}

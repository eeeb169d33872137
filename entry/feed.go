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

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/upstream"
)

// Times of the feed between hosts.
const (
	// feedTime is how often a host tells the ages of what it knows.
	feedTime = 400 * time.Millisecond
	// feedSilence is how long a feed may send nothing.
	feedSilence = time.Second
	// feedPause is the time until a host without an upstream looks for one.
	feedPause = time.Second
	// feedDial bounds the opening of a stream.
	feedDial = 400 * time.Millisecond
	// blindTime is how long a host that knows nothing waits for the store before
	// it asks its seeds.
	blindTime = 2 * time.Second
	// blindPause is how soon it looks whether the store is lost.
	blindPause = 300 * time.Millisecond
	// feedFanout is how many hosts of its data centre one host feeds.
	feedFanout = 16
	// feedsPerStrength is how many more a host accepts for each step of its strength:
	// hosts that have lost theirs, or don't agree on the tree.
	feedsPerStrength = 8
	// maxFeedBytes bounds a message of a feed.
	maxFeedBytes = 8 << 20
	// feedQueue is how many answers wait for a slow subscriber.
	feedQueue = 256
)

// Stream carries messages between two hosts. All fields must be set.
type Stream struct {
	Send    func(ctx context.Context, message []byte) error
	Receive func(ctx context.Context) ([]byte, error)
	Close   func()
}

// hello opens a feed: it tells what the asking host knows already.
type hello struct {
	Host     fleet.HostID                             `cbor:"host"`
	Versions [catalogue.SourceCount]catalogue.Version `cbor:"versions"`
	// Knows is set to the own address by a host that asks for no feed: it says that
	// it gives one that is worth asking for.
	Knows netip.AddrPort `cbor:"knows,omitzero"`
}

// update is a message of a feed.
type update struct {
	Answers []catalogue.Update `cbor:"answers,omitempty"`
	// Ages tell how long ago each source was confirmed, and Known which are known.
	Ages  [catalogue.SourceCount]time.Duration `cbor:"ages"`
	Known [catalogue.SourceCount]bool          `cbor:"known"`
	// Versions are those up to which each source is known.
	Versions [catalogue.SourceCount]catalogue.Version `cbor:"versions"`
}

// subscriber is a host that learns from this one.
type subscriber struct {
	host     fleet.HostID
	versions [catalogue.SourceCount]catalogue.Version
	answers  chan catalogue.Update
	// drop ends the feed, and full says that there was no room for it.
	drop context.CancelFunc
	full atomic.Bool
}

// subscription asks the control goroutine to feed a host, or to stop that.
type subscription struct {
	subscriber *subscriber
	leaves     bool
}

// ServeFeed tells another host what this one learns, until ctx or the stream ends.
func (h *Host) ServeFeed(ctx context.Context, stream *Stream) {
	defer stream.Close()
	message, err := stream.Receive(ctx)
	if err != nil {
		return
	}
	var asked hello
	if err := cbor.Unmarshal(message, &asked); err != nil {
		h.log.Line("feed_refused", "error", err)
		return
	}
	if asked.Knows.IsValid() {
		h.introductions.Add(h.network.Now(), asked.Knows)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &subscriber{host: asked.Host, versions: asked.Versions, answers: make(chan catalogue.Update, feedQueue), drop: cancel}
	if !h.subscribe(ctx, subscription{subscriber: s}) {
		return
	}
	err = h.sendUpdates(ctx, stream, s)
	if s.full.Load() {
		h.log.Line("feed_refused", "peer", asked.Host, "error", errFull)
		return
	}
	h.log.Line("feed_closed", "peer", asked.Host, "error", err)
	h.subscribe(context.WithoutCancel(ctx), subscription{subscriber: s, leaves: true})
}

// errFull is why a feed is refused by a host that has enough of them.
var errFull = errors.New("full")

// maxFeeds returns how many hosts may learn from this one.
func (h *Host) maxFeeds() int {
	return feedFanout + feedsPerStrength*h.current.Load().Limits.strength()
}

// subscribe hands a subscription to the control goroutine. It returns false if the
// host stops first.
func (h *Host) subscribe(ctx context.Context, s subscription) bool {
	select {
	case h.joins <- s:
		return true
	case <-ctx.Done():
		return false
	case <-h.done:
		return false
	}
}

// sendUpdates sends each change at once, and the ages every feedTime.
func (h *Host) sendUpdates(ctx context.Context, stream *Stream, s *subscriber) error {
	tick := time.NewTicker(feedTime)
	defer tick.Stop()
	for {
		var first []catalogue.Update
		select {
		case <-ctx.Done():
			return ctx.Err()
		case a := <-s.answers:
			first = append(first, a)
		case <-tick.C:
		}
		message, err := cbor.Marshal(h.update(first, s.answers))
		if err != nil {
			return errors.Wrap(err, "encode update")
		}
		sending, cancel := context.WithTimeout(ctx, feedSilence)
		err = stream.Send(sending, message)
		cancel()
		if err != nil {
			return errors.Wrap(err, "send update")
		}
	}
}

// update describes what this host knows now, with the answers that wait. These are
// taken last: an update that names a version has all changes up to it.
func (h *Host) update(answers []catalogue.Update, queue <-chan catalogue.Update) update {
	known, now := h.snapshot.Load(), h.network.Now()
	u := update{Answers: drain(queue, answers), Versions: known.versions}
	for source, confirmed := range known.confirmed {
		u.Known[source] = !confirmed.IsZero()
		u.Ages[source] = max(0, now.Sub(confirmed))
	}
	return u
}

func drain(queue <-chan catalogue.Update, answers []catalogue.Update) []catalogue.Update {
	for {
		select {
		case a := <-queue:
			answers = append(answers, a)
		default:
			return answers
		}
	}
}

// feedClient learns from another host, as long as one is better placed to read
// the store.
type feedClient struct {
	host    *Host
	chooser upstream.Chooser
}

func (f *feedClient) run(ctx context.Context) error {
	h := f.host
	f.chooser.Self = h.self()
	started := h.network.Now()
	pause := time.NewTimer(blindPause)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-pause.C:
		}
		if to, ok := f.next(started); ok {
			err := f.follow(ctx, to)
			h.fedUntil.Store(0)
			if ctx.Err() != nil {
				return nil
			}
			f.chooser.Failed(h.network.Now(), to)
			h.log.Line("upstream_lost", "peer", to, "error", err)
			h.metrics.upstreams.WithLabelValues("lost").Inc()
		}
		if h.snapshot.Load().catalogue.Ready() {
			pause.Reset(feedPause)
		} else {
			pause.Reset(blindPause)
		}
	}
}

// fanout returns how many hosts learn from one. Where the bounds leave no time for
// two hops, all learn from one host.
func (h *Host) fanout() int {
	tightest := min(h.bound(catalogue.Servers), h.bound(catalogue.Evacuations), h.bound(catalogue.Configurations))
	if upstream.Slack(tightest, catalogue.WatchWait(tightest)) < 3*feedTime {
		return 0
	}
	return feedFanout
}

// next returns the address to learn from. Hosts that say that they know, and seeds,
// are asked only by a host that knows nothing.
func (f *feedClient) next(started time.Time) (netip.AddrPort, bool) {
	h := f.host
	now := h.network.Now()
	known := h.snapshot.Load().catalogue
	if known.Ready() && known.Complete() {
		f.chooser.Fanout = h.fanout()
		peer, ok := f.chooser.Choose(now, known.Hosts())
		return peer.PeerAddress, ok
	}
	introduced := h.introductions.Addresses(now)
	if len(introduced) == 0 && now.Sub(started) < blindTime && !h.storeLost.Load() {
		return netip.AddrPort{}, false
	}
	return f.chooser.Seed(now, append(introduced, h.current.Load().Peers.Seeds...))
}

// follow learns from a host until it falls silent. While it is late this host reads
// the store itself, and leaves it only if the store does not answer: others may be
// better off then. A source that is late for all is no reason to leave.
func (f *feedClient) follow(ctx context.Context, to netip.AddrPort) error {
	h := f.host
	dialing, cancel := context.WithTimeout(ctx, feedDial)
	defer cancel()
	stream, err := h.network.DialFeed(dialing, to)
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	defer stream.Close()
	message, err := cbor.Marshal(hello{Host: h.Settings.Host, Versions: h.snapshot.Load().versions})
	if err != nil {
		return errors.Wrap(err, "encode hello")
	}
	if err := stream.Send(dialing, message); err != nil {
		return errors.Wrap(err, "send hello")
	}
	h.log.Line("upstream_chosen", "peer", to)
	h.metrics.upstreams.WithLabelValues("chosen").Inc()
	fresh := upstream.Freshness{SilenceTimeout: feedSilence}
	blind, began := !h.snapshot.Load().catalogue.Ready(), h.network.Now()
	for {
		if err := f.receive(ctx, stream, &fresh); err != nil {
			return err
		}
		if !blind && !fresh.Fresh(h.network.Now()) && h.storeLost.Load() {
			return errors.New("late")
		}
		if blind && !h.snapshot.Load().catalogue.Ready() && f.waited(to, began) {
			return errors.New("knows nothing either")
		}
	}
}

// waited reports whether a blind host that has followed another one since a time
// should ask somebody else.
func (f *feedClient) waited(to netip.AddrPort, began time.Time) bool {
	now := f.host.network.Now()
	introduced := f.host.introductions.Addresses(now)
	return now.Sub(began) > blindTime || len(introduced) > 0 && !slices.Contains(introduced, to)
}

// receive takes in one update.
func (f *feedClient) receive(ctx context.Context, stream *Stream, fresh *upstream.Freshness) error {
	h := f.host
	waiting, cancel := context.WithTimeout(ctx, feedSilence)
	defer cancel()
	message, err := stream.Receive(waiting)
	if err != nil {
		return errors.Wrap(err, "receive update")
	}
	u, err := decodeUpdate(message)
	if err != nil {
		return errors.Wrap(err, "decode update")
	}
	now := h.network.Now()
	answers := u.answers(now)
	select {
	case h.answers <- answers:
	case <-ctx.Done():
		return ctx.Err()
	}
	fresh.Updated(now, h.slack(&u))
	if fresh.Fresh(now) {
		h.fedUntil.Store(now.Add(feedSilence).UnixNano())
	}
	return nil
}

// decodeUpdate reads an update of another host. One that no host of the product
// sends is an error.
func decodeUpdate(message []byte) (update, error) {
	var u update
	if err := cbor.Unmarshal(message, &u); err != nil {
		return update{}, err
	}
	for _, a := range u.Answers {
		if a.Source < 0 || int(a.Source) >= catalogue.SourceCount {
			return update{}, errors.Errorf("source %d", int(a.Source))
		}
	}
	for source, age := range u.Ages {
		if age < 0 {
			return update{}, errors.Errorf("age %s of source %d", age, source)
		}
	}
	return u, nil
}

// answers returns an update as answers of the store.
func (u *update) answers(now time.Time) []catalogue.Update {
	answers := u.Answers
	for i := range answers {
		answers[i].AsOf = now.Add(-u.Ages[answers[i].Source])
	}
	for source := range catalogue.Source(catalogue.SourceCount) {
		if u.Known[source] {
			answers = append(answers, catalogue.Update{Source: source, Version: u.Versions[source], AsOf: now.Add(-u.Ages[source])})
		}
	}
	return answers
}

// slack returns how long all parts of an update are recent enough. Other hosts
// need not be known in time.
func (h *Host) slack(u *update) time.Duration {
	slack := time.Hour
	for source := range catalogue.Source(catalogue.SourceCount) {
		switch {
		case source == catalogue.Hosts:
		case !u.Known[source]:
			return 0
		default:
			slack = min(slack, upstream.Slack(h.bound(source), u.Ages[source]))
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

// feedPath is where hosts accept feeds.
const feedPath = "/feed"

// acceptFeed returns the handler that turns requests for a feed into streams.
func acceptFeed(accept func(context.Context, *Stream)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(feedPath, func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		accept(r.Context(), newStream(conn))
	})
	return mux
}

func dialFeed(ctx context.Context, to netip.AddrPort) (*Stream, error) {
	conn, response, err := websocket.Dial(ctx, "ws://"+to.String()+feedPath, nil)
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return nil, err
	}
	return newStream(conn), nil
}

func newStream(conn *websocket.Conn) *Stream {
	conn.SetReadLimit(maxFeedBytes)
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

package entry_test

import (
	"bytes"
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/entry"
	"github.com/rattanthread/rattanthread/forwarding"
	"github.com/rattanthread/rattanthread/platformstandin"
)

// feedDelay is how long the messages of a scriptedUpstream are under way.
const feedDelay = 50 * time.Millisecond

// scriptedUpstream is the only upstream of a host that does not reach the store.
type scriptedUpstream struct {
	version catalogue.Version

	mu       sync.Mutex
	ages     [catalogue.SourceCount]time.Duration
	known    [catalogue.SourceCount]bool
	requests int
}

// set sets the age of the configuration in the following messages, and whether it is known.
func (u *scriptedUpstream) set(known bool, age time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.known[catalogue.Configurations], u.ages[catalogue.Configurations] = known, age
}

// feedsRequested returns how many feeds the host has requested.
func (u *scriptedUpstream) feedsRequested() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.requests
}

func (u *scriptedUpstream) dial(context.Context, netip.AddrPort) (*entry.Stream, error) {
	requested := time.Now()
	return &entry.Stream{
		Send: func(_ context.Context, message []byte) error {
			var hello map[string]any
			if err := cbor.Unmarshal(message, &hello); err != nil {
				return err
			}
			if hello["knows"] == nil { // not an announcement
				u.mu.Lock()
				u.requests++
				u.mu.Unlock()
			}
			return nil
		},
		Receive: func(context.Context) ([]byte, error) {
			time.Sleep(400 * time.Millisecond)
			return u.message(time.Since(requested) - feedDelay)
		},
		Close: func() {},
	}, nil
}

// message returns a message with all records, as a host of an earlier version sends it.
func (u *scriptedUpstream) message(elapsed time.Duration) ([]byte, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	v := u.version
	server := catalogue.Server{ID: "i-01", Service: "bench", Address: netip.MustParseAddrPort("10.0.0.1:80"), DataCentre: "a", Tag: 1, Changed: v}
	return cbor.Marshal(map[string]any{
		"answers": []catalogue.Update{
			{Source: catalogue.Configurations, Full: true, Version: v, Records: []catalogue.Record{{Name: "main", Changed: v, Configuration: &catalogue.Configuration{Number: 1}}}},
			{Source: catalogue.Evacuations, Full: true, Version: v},
			{Source: catalogue.Servers, Full: true, Version: v, Records: []catalogue.Record{{Name: "i-01", Changed: v, Server: &server}}},
		},
		"ages": u.ages, "known": u.known, "versions": []catalogue.Version{v, v, v, 0}, "elapsed": elapsed,
	})
}

// observedHost is a host whose decisions, log and metrics a test reads.
type observedHost struct {
	host    entry.Host
	packets chan []byte

	mu      sync.Mutex
	log     bytes.Buffer
	metrics http.Handler
}

func (o *observedHost) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.log.Write(b)
}

// lines returns the lines of a kind.
func (o *observedHost) lines(kind string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var lines []string
	for line := range strings.Lines(o.log.String()) {
		if strings.Contains(line, ": "+kind+": ") {
			lines = append(lines, line)
		}
	}
	return lines
}

// metric returns the line of a metric, or the empty string if it has none.
func (o *observedHost) metric(name string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	response := httptest.NewRecorder()
	o.metrics.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for line := range strings.Lines(response.Body.String()) {
		if strings.HasPrefix(line, name) {
			return strings.TrimSpace(line)
		}
	}
	return ""
}

// follow runs a host that follows an upstream, in a synctest bubble.
func follow(t *testing.T, u *scriptedUpstream, check func(*is.I, *observedHost)) {
	t.Helper()
	u.version = catalogue.NewVersion(1, 2)
	u.known[catalogue.Evacuations], u.known[catalogue.Servers] = true, true
	u.ages[catalogue.Hosts] = math.MaxInt64
	observe(t, func(network *entry.Network) { network.DialFeed = u.dial }, check)
}

// observe runs a host in a synctest bubble, after prepare has changed its network.
func observe(t *testing.T, prepare func(*entry.Network), check func(*is.I, *observedHost)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		settings, err := entry.LoadSettings(validFile)
		is.NoErr(err)
		o := &observedHost{packets: make(chan []byte)}
		network := idleNetwork()
		closed := make(chan struct{})
		network.Close = func() { close(closed) }
		network.Receive = func(buffer []byte) (int, error) {
			select {
			case packet := <-o.packets:
				return copy(buffer, packet), nil
			case <-closed:
				return 0, errNoResponse
			}
		}
		prepare(&network)
		network.ServeMetrics = func(ctx context.Context, handler http.Handler) error {
			o.mu.Lock()
			o.metrics = handler
			o.mu.Unlock()
			<-ctx.Done()
			return nil
		}
		o.host = entry.Host{Settings: settings, Logger: hclog.New(&hclog.LoggerOptions{Output: o}), Network: &network}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- o.host.Run(ctx) }()
		defer func() {
			stop()
			is.NoErr(<-ended)
		}()
		time.Sleep(6 * time.Second)
		is.True(o.host.Ready())
		check(is, o)
		is.True(!regexp.MustCompile(`age[a-z_]*=-`).MatchString(o.log.String())) // no negative age in the log
	})
}

// isRecent reports whether a source of a host was confirmed within a time before now.
func (o *observedHost) isRecent(source catalogue.Source) bool {
	confirmedAt, now := entry.ConfirmedAt(&o.host, source), time.Now()
	return !confirmedAt.After(now) && now.Sub(confirmedAt) < time.Second
}

// TestUnknownAgeInFeed lets an upstream send the largest duration as the age of a configuration that it
// has not confirmed, as hosts of earlier versions do. It guards against a host that then counts that
// configuration as confirmed in the future, until it ends: it would reset the flows of routes that it
// lacks, and never accept a real confirmation.
func TestUnknownAgeInFeed(t *testing.T) {
	var u scriptedUpstream
	u.set(false, math.MaxInt64)
	follow(t, &u, func(is *is.I, o *observedHost) {
		is.True(entry.ConfirmedAt(&o.host, catalogue.Configurations).IsZero())
		is.True(o.isRecent(catalogue.Servers))
		is.True(o.isRecent(catalogue.Evacuations))
		o.packets <- platformstandin.OpeningPacket()
		synctest.Wait()
		is.Equal(len(o.lines("no_route")), 0)
		is.Equal(len(o.lines("route_unknown")), 1)

		u.set(true, 0)
		time.Sleep(time.Second)
		is.Equal(o.metric(`rattanthread_ages_rejected_total{place="feed"}`), `rattanthread_ages_rejected_total{place="feed"} 0`)
		is.True(o.isRecent(catalogue.Configurations)) // a real confirmation is accepted
		is.Equal(u.feedsRequested(), 1)
	})
}

// TestUnknownAgeIsNotLogged guards against a number in the place of an unknown age, in the log and in
// the metric of the age.
func TestUnknownAgeIsNotLogged(t *testing.T) {
	var u scriptedUpstream
	u.set(false, math.MaxInt64)
	follow(t, &u, func(is *is.I, o *observedHost) {
		for range 64 { // one in 64 packets is sampled by the metric
			o.packets <- platformstandin.OpeningPacket()
		}
		synctest.Wait()
		is.True(len(o.lines("route_unknown")) > 0)
		line := o.lines("route_unknown")[0]
		is.True(strings.Contains(line, " configuration_age_ms=unknown"))
		is.True(regexp.MustCompile(` age_ms=\d+ `).MatchString(line)) // that of the servers is known
		is.Equal(o.metric("rattanthread_configuration_age_seconds_count"), "rattanthread_configuration_age_seconds_count 0")
	})
}

// TestImpossibleAgeInFeed lets an upstream send ages that no state can have. It guards against a host
// that uses them, or that loses the other sources of the same messages.
func TestImpossibleAgeInFeed(t *testing.T) {
	const unknownToEarlierVersions = 100 * 365 * 24 * time.Hour
	for name, age := range map[string]time.Duration{
		"the largest":                     math.MaxInt64,
		"beyond the maximum":              catalogue.MaxAge + 1,
		"beyond it with the delay":        catalogue.MaxAge,
		"passed on by an earlier version": unknownToEarlierVersions,
	} {
		t.Run(name, func(t *testing.T) {
			var u scriptedUpstream
			u.set(true, age)
			follow(t, &u, func(is *is.I, o *observedHost) {
				is.True(entry.ConfirmedAt(&o.host, catalogue.Configurations).IsZero())
				is.True(o.isRecent(catalogue.Servers))
				is.True(!strings.HasSuffix(o.metric(`rattanthread_ages_rejected_total{place="feed"}`), " 0"))
				is.True(len(o.lines("age_rejected")) > 0)
				is.True(strings.Contains(o.lines("age_rejected")[0], " source=configurations"))
				is.True(strings.Contains(o.lines("age_rejected")[0], "older than")) // also the largest, whose sum with the delay wraps
				is.Equal(o.metric(`rattanthread_ages_rejected_total{place="catalogue"}`), `rattanthread_ages_rejected_total{place="catalogue"} 0`)
				u.set(true, 0)
				time.Sleep(time.Second)
				is.True(o.isRecent(catalogue.Configurations))
				is.Equal(u.feedsRequested(), 1)
			})
		})
	}
}

// TestNegativeAgeInFeed guards against a message with a negative age that is used, or that leaves no
// trace in the metrics. No version sends one, so the rest of the message is not used either.
func TestNegativeAgeInFeed(t *testing.T) {
	var u scriptedUpstream
	u.set(true, 0)
	follow(t, &u, func(is *is.I, o *observedHost) {
		is.Equal(o.metric(`rattanthread_ages_rejected_total{place="feed"}`), `rattanthread_ages_rejected_total{place="feed"} 0`)
		u.set(true, -time.Second)
		time.Sleep(2 * time.Second)
		confirmedAt := entry.ConfirmedAt(&o.host, catalogue.Servers)
		is.True(time.Since(confirmedAt) > time.Second)
		is.True(!strings.HasSuffix(o.metric(`rattanthread_ages_rejected_total{place="feed"}`), " 0"))
		is.True(len(o.lines("age_rejected")) > 0)
		is.True(len(o.lines("upstream_lost")) > 0)
	})
}

// TestImpossibleAgeInStore sets the clock of a host back while it waits for responses of the store, so
// that they are dated after now. It guards against such a time that is used, or not counted where it arises.
func TestImpossibleAgeInStore(t *testing.T) {
	var step atomic.Bool
	observe(t, func(network *entry.Network) {
		network.Store = largeSite().Store.Transport("front-a-1")
		network.Now = func() time.Time {
			if step.Load() {
				return time.Now().Add(-time.Minute)
			}
			return time.Now()
		}
	}, func(is *is.I, o *observedHost) {
		is.Equal(o.metric(`rattanthread_ages_rejected_total{place="store"}`), `rattanthread_ages_rejected_total{place="store"} 0`)
		step.Store(true)
		time.Sleep(5 * time.Second)
		is.True(!strings.HasSuffix(o.metric(`rattanthread_ages_rejected_total{place="store"}`), " 0"))
		is.Equal(o.metric(`rattanthread_ages_rejected_total{place="catalogue"}`), `rattanthread_ages_rejected_total{place="catalogue"} 0`)
	})
}

// TestImpossibleAgeInCatalogue guards against an update with an impossible date that leaves no trace in
// the metrics, or whose records are lost.
func TestImpossibleAgeInCatalogue(t *testing.T) {
	for _, test := range []struct {
		date time.Time
		want float64
	}{{time.Time{}, 0}, {testTime, 0}, {testTime.Add(time.Second), 1}, {testTime.Add(-math.MaxInt64), 1}} {
		is := is.New(t)
		network := idleNetwork()
		network.Now = func() time.Time { return testTime }
		rejected, version := entry.AgesRejectedInCatalogue(t.Context(), network, catalogue.Update{Source: catalogue.Evacuations, Full: true, Version: 7, AsOf: test.date})
		is.Equal(rejected, test.want)
		is.Equal(version, catalogue.Version(7))
	}
}

// earlierMessage is a feed message as hosts of the version before the check of ages decode it.
type earlierMessage struct {
	Updates   []catalogue.Update                       `cbor:"answers,omitempty"`
	Ages      [catalogue.SourceCount]time.Duration     `cbor:"ages"`
	Confirmed [catalogue.SourceCount]bool              `cbor:"known"`
	Versions  [catalogue.SourceCount]catalogue.Version `cbor:"versions"`
	Elapsed   time.Duration                            `cbor:"elapsed,omitempty"`
}

// datesOfEarlierVersion returns the times at which a host of that version dates the records of the
// sources in a message that was under way for a time.
func datesOfEarlierVersion(is *is.I, data []byte, now time.Time, delay time.Duration) [catalogue.SourceCount]time.Time {
	var message earlierMessage
	is.NoErr(cbor.Unmarshal(data, &message))
	var dates [catalogue.SourceCount]time.Time
	for source, age := range message.Ages {
		is.True(age >= 0) // that version closes a feed with a negative age
		age += delay
		dates[source] = now.Add(-age)
	}
	return dates
}

// TestUnknownAgeIsNotSent guards against an upstream that sends a number which a host takes for an age:
// one of this version, and one of an earlier version, which dates the records of a source although
// the message says that its age is not known.
func TestUnknownAgeIsNotSent(t *testing.T) {
	for name, confirmedAt := range map[string]time.Time{
		"not confirmed": {}, "confirmed in the future": testTime.Add(time.Hour), "confirmed long ago": testTime.Add(-math.MaxInt64),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			confirmed := [catalogue.SourceCount]time.Time{testTime.Add(-time.Second), confirmedAt, testTime, confirmedAt}
			data, err := entry.FeedMessage(testTime, confirmed, catalogue.Update{Source: catalogue.Evacuations, Full: true, Version: 1})
			is.NoErr(err)
			var message earlierMessage
			is.NoErr(cbor.Unmarshal(data, &message))
			is.Equal(message.Confirmed, [catalogue.SourceCount]bool{true, false, true, false})
			is.Equal(message.Ages[catalogue.Configurations], time.Second)
			is.Equal(message.Ages[catalogue.Servers], time.Duration(0))
			for _, delay := range []time.Duration{0, time.Millisecond, time.Second, time.Hour} {
				dates := datesOfEarlierVersion(is, data, testTime, delay)
				for _, source := range []catalogue.Source{catalogue.Evacuations, catalogue.Hosts} {
					is.True(testTime.Sub(dates[source]) > catalogue.MaxAge) // older than all bounds, and rejected when it is passed on
				}
			}
			updates, err := entry.UpdatesOf(testTime, data)
			is.NoErr(err)
			for _, update := range updates {
				is.Equal(update.AsOf.IsZero(), update.Source == catalogue.Evacuations)
			}
			is.Equal(len(updates), 3) // the records, and two confirmations
		})
	}
}

// TestRouteIsUnknownWithoutConfirmation guards against refusals of new flows by a configuration whose
// time of confirmation is not known or impossible. Packets of open flows are those of
// TestFlowOfUnconfirmedConfigurationIsNotReset.
func TestRouteIsUnknownWithoutConfirmation(t *testing.T) {
	is := is.New(t)
	server := catalogue.Server{ID: "i-01", Service: "bench", Address: netip.MustParseAddrPort("10.0.0.1:80"), DataCentre: "a", Tag: 1, Changed: 1}
	message, err := entry.EncodeUpdate(
		catalogue.Update{Source: catalogue.Configurations, Full: true, Version: 1, Records: []catalogue.Record{{Name: "main", Changed: 1, Configuration: &catalogue.Configuration{Number: 1}}}},
		catalogue.Update{Source: catalogue.Evacuations, Full: true, Version: 1},
		catalogue.Update{Source: catalogue.Servers, Full: true, Version: 1, Records: []catalogue.Record{{Name: "i-01", Changed: 1, Server: &server}}},
	)
	is.NoErr(err)
	current, err := entry.ApplyUpdate(testTime, message)
	is.NoErr(err)
	is.True(current.Ready())
	packet := forwarding.Packet{
		Source: netip.MustParseAddrPort("100.64.0.1:1000"), Destination: netip.MustParseAddrPort("198.18.0.1:443"), Kind: forwarding.Opening,
	}
	for confirmedAt, want := range map[time.Time]forwarding.Reason{
		testTime.Add(-time.Second):      forwarding.NoRoute,
		{}:                              forwarding.RouteUnknown,
		testTime.Add(time.Nanosecond):   forwarding.RouteUnknown,
		testTime.Add(math.MaxInt64):     forwarding.RouteUnknown,
		testTime.Add(-catalogue.MaxAge): forwarding.RouteUnknown,
	} {
		var forwarder forwarding.Forwarder
		is.Equal(forwarder.Decide(testTime, current, forwarding.Confirmation{Configuration: confirmedAt}, packet).Reason, want)
	}
}

package entry_test

import (
	"context"
	"encoding/binary"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/entry"
	"github.com/rattanthread/rattanthread/platform"
	"github.com/rattanthread/rattanthread/platformstandin"
)

// segmentPacket returns a packet of an open flow on a server.
func segmentPacket(is *is.I, server catalogue.Cookie) []byte {
	const cookieOffset, flagsOffset, flagACK = 14, 30, 128
	b := platformstandin.OpeningPacket()
	p, err := platform.ParsePacket(b)
	is.NoErr(err)
	binary.BigEndian.PutUint32(b[cookieOffset:], uint32(server.MaskFor(p.Destination)))
	b[flagsOffset] = flagACK
	return b
}

var flowAgePattern = regexp.MustCompile(` flow_age_ms=(\d+)`)

// TestFlowWithoutRouteIsExplained guards against a flow without a route whose lines do not show why it was forwarded or
// reset: its age and that of the configuration.
func TestFlowWithoutRouteIsExplained(t *testing.T) {
	var u scriptedUpstream // its configuration has no routes
	follow(t, &u, func(is *is.I, o *observedHost) {
		packet := segmentPacket(is, catalogue.CookieOf("i-01"))
		send := func() { o.packets <- packet; synctest.Wait() }
		send()
		forwarded := o.lines("route_unknown")
		is.Equal(len(forwarded), 1)
		for _, pair := range []string{"action=forward", "server=i-01", "kind=segment", "configuration=1", "configuration_age_ms=unknown", "flow_age_ms=unknown"} {
			is.True(strings.Contains(forwarded[0], " "+pair))
		}

		u.set(true, 0)
		time.Sleep(time.Second)
		send()
		reset := o.lines("no_route")
		is.Equal(len(reset), 1)
		is.True(strings.Contains(reset[0], " action=reset "))
		match := flowAgePattern.FindStringSubmatch(reset[0])
		is.True(match != nil)
		age, err := strconv.Atoi(match[1])
		is.NoErr(err)
		is.True(age >= 1000)
		is.True(o.isRecent(catalogue.Configurations)) // the configuration was confirmed after the flow had been seen
	})
}

// TestConfirmationIsThatOfTheCatalogue guards against decisions that take a catalogue for more recent than it is: after a
// build the next one is delayed, and the updates that arrive meanwhile are confirmed before they are in the catalogue.
func TestConfirmationIsThatOfTheCatalogue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const buildTime = 10 * time.Millisecond
		var elapsed atomic.Int64
		began := time.Now()
		network := idleNetwork()
		network.Now = func() time.Time { return time.Now().Add(time.Duration(elapsed.Add(int64(buildTime)))) }
		route := netip.MustParseAddrPort("198.18.0.1:443")
		configuration := func(version catalogue.Version, asOf time.Time, routes ...catalogue.Route) catalogue.Update {
			return catalogue.Update{Source: catalogue.Configurations, Full: true, Version: version, AsOf: asOf, Records: []catalogue.Record{
				{Name: "main", Changed: version, Configuration: &catalogue.Configuration{Number: uint64(version), Routes: routes}},
			}}
		}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		earlier, later := began.Add(time.Millisecond), began.Add(2*time.Millisecond)
		inputs := entry.DecisionInputs(ctx, network, configuration(1, earlier), configuration(2, later, catalogue.Route{Name: "feed", Address: route}))
		current, confirmed := inputs(catalogue.Configurations)
		is.True(current.Route(route) == nil) // the build is delayed
		is.Equal(confirmed, earlier)

		time.Sleep(time.Second)
		current, confirmed = inputs(catalogue.Configurations)
		is.True(current.Route(route) != nil)
		is.Equal(confirmed, later)
	})
}

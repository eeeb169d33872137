package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/declaration"
)

// Bounds of the values of settings.
const (
	MinKeyDigits       = 32
	MaxPort            = 65_535
	MinPlatformTimeout = 10 * time.Millisecond
	MaxPlatformTimeout = time.Minute
	MinHeartbeat       = 50 * time.Millisecond
	MaxHeartbeat       = 10 * time.Second
	MaxSuspicion       = time.Minute
	MinRecords         = 1000
	MaxRecords         = 100_000_000
	MaxQueuedMessages  = 65_536
	MinMessageBytes    = 64 << 10
	MaxMessageBytes    = 16 << 20
	MaxPacketWorkers   = 64
	MinCallerClockSkew = 10 * time.Millisecond
	MaxCallerClockSkew = 10 * time.Minute
)

var logLevels = []string{"trace", "debug", "info", "warn", "error"}

// checker collects the problems of the settings.
type checker struct {
	origin   declaration.Origin
	problems declaration.Problems
}

func check(s Settings, origin declaration.Origin) declaration.Problems {
	c := checker{origin: origin}
	c.report("host", declaration.CheckName(string(s.Host)))
	c.report("data_centre", declaration.CheckName(string(s.DataCentre)))
	c.checkListen(s.Listen)
	c.checkPlatform(s.Platform)
	c.checkPeers(s.Peers)
	c.checkLimits(s.Limits)
	if !slices.Contains(logLevels, s.Log.Level) {
		c.reportf("log.level", "%q is not one of %v", s.Log.Level, logLevels)
	}
	c.problems.Sort()
	return c.problems
}

func (c *checker) reportf(key, format string, args ...any) {
	c.problems = append(c.problems, c.origin.Problem("", key, fmt.Sprintf(format, args...)))
}

// report records a problem with the key unless the reason is empty.
func (c *checker) report(key, reason string) {
	if reason != "" {
		c.reportf(key, "%s", reason)
	}
}

func (c *checker) checkListen(l Listen) {
	c.report("listen.answer_port", declaration.CheckRange(l.AnswerPort, 1, MaxPort))
	type listener struct {
		key, protocol string
		address       netip.AddrPort
	}
	listeners := []listener{
		{"listen.packet", "udp", l.Packet},
		{"listen.handoff", "udp", l.Handoff},
		{"listen.peer", "udp", l.Peer},
		{"listen.request", "tcp", l.Request},
		{"listen.peer", "tcp", l.Peer},
		{"listen.admin", "tcp", l.Admin},
	}
	for i, current := range listeners {
		if i != 4 { // listen.peer is listed once per protocol; check its address once
			c.report(current.key, declaration.CheckAddress(current.address))
		}
		for _, earlier := range listeners[:i] {
			if earlier.protocol == current.protocol && earlier.address == current.address && current.address.IsValid() {
				c.reportf(current.key, "%s %s is already used by %s", current.protocol, current.address, earlier.key)
			}
		}
	}
}

func (c *checker) checkPlatform(p Platform) {
	u, err := url.Parse(p.URL)
	switch {
	case p.URL == "":
		c.reportf("platform.url", "is missing")
	case err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https"):
		c.reportf("platform.url", "%q is not an http or https URL", p.URL)
	}
	c.report("platform.timeout", declaration.CheckRange(p.Timeout, MinPlatformTimeout, MaxPlatformTimeout))
}

func (c *checker) checkPeers(p Peers) {
	_, err := hex.DecodeString(p.Key)
	switch {
	case p.Key == "":
		c.reportf("peers.key", "is missing")
	case len(p.Key) < MinKeyDigits || err != nil:
		// The key is secret, so the message doesn't show it.
		c.reportf("peers.key", "is not an even number of at least %d hexadecimal digits", MinKeyDigits)
	}
	c.report("peers.heartbeat", declaration.CheckRange(p.Heartbeat, MinHeartbeat, MaxHeartbeat))
	c.report("peers.suspicion", declaration.CheckRange(p.Suspicion, 2*max(p.Heartbeat, MinHeartbeat), MaxSuspicion))
	c.checkSeeds(p.Seeds)
}

func (c *checker) checkSeeds(seeds []Seed) {
	for i, seed := range seeds {
		key := fmt.Sprintf("peers.seed#%d", i+1)
		c.report(key+".host", declaration.CheckName(string(seed.Host)))
		c.report(key+".data_centre", declaration.CheckName(string(seed.DataCentre)))
		c.report(key+".peer", declaration.CheckAddress(seed.Peer))
		c.report(key+".handoff", declaration.CheckAddress(seed.Handoff))
		if slices.ContainsFunc(seeds[:i], func(other Seed) bool { return other.Host == seed.Host }) {
			c.reportf(key+".host", "%q is already the host of another seed", seed.Host)
		}
	}
}

func (c *checker) checkLimits(l Limits) {
	c.report("limits.flow_records", declaration.CheckRange(l.FlowRecords, MinRecords, MaxRecords))
	c.report("limits.exceptional_flows", declaration.CheckRange(l.ExceptionalFlows, MinRecords, MaxRecords))
	c.report("limits.request_keys", declaration.CheckRange(l.RequestKeys, MinRecords, MaxRecords))
	c.report("limits.queued_messages", declaration.CheckRange(l.QueuedMessages, 1, MaxQueuedMessages))
	c.report("limits.message_bytes", declaration.CheckRange(l.MessageBytes, MinMessageBytes, MaxMessageBytes))
	c.report("limits.packet_workers", declaration.CheckRange(l.PacketWorkers, 1, MaxPacketWorkers))
	c.report("limits.caller_clock_skew", declaration.CheckRange(l.CallerClockSkew, MinCallerClockSkew, MaxCallerClockSkew))
}

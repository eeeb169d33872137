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

// Limits of what the settings may hold.
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

// checker collects the problems of one file.
type checker struct {
	origin   declaration.Origin
	problems declaration.Problems
}

func check(s Settings, origin declaration.Origin) declaration.Problems {
	c := checker{origin: origin}
	c.require("host", declaration.NameFault(string(s.Host)))
	c.require("data_centre", declaration.NameFault(string(s.DataCentre)))
	c.checkListen(s.Listen)
	c.checkPlatform(s.Platform)
	c.checkPeers(s.Peers)
	c.checkLimits(s.Limits)
	if !slices.Contains(logLevels, s.Log.Level) {
		c.fail("log.level", "%q is none of %v", s.Log.Level, logLevels)
	}
	c.problems.Sort()
	return c.problems
}

func (c *checker) fail(key, format string, args ...any) {
	c.problems = append(c.problems, c.origin.Problem("", key, fmt.Sprintf(format, args...)))
}

// require records the fault of a key, if there is one.
func (c *checker) require(key, fault string) {
	if fault != "" {
		c.fail(key, "%s", fault)
	}
}

func (c *checker) checkListen(l Listen) {
	c.require("listen.answer_port", declaration.RangeFault(l.AnswerPort, 1, MaxPort))
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
		if i != 4 { // the peer address is listed for both of its protocols
			c.require(current.key, declaration.AddressFault(current.address))
		}
		for _, earlier := range listeners[:i] {
			if earlier.protocol == current.protocol && earlier.address == current.address && current.address.IsValid() {
				c.fail(current.key, "%s %s is already %s", current.protocol, current.address, earlier.key)
			}
		}
	}
}

func (c *checker) checkPlatform(p Platform) {
	u, err := url.Parse(p.URL)
	switch {
	case p.URL == "":
		c.fail("platform.url", "is missing")
	case err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https"):
		c.fail("platform.url", "%q is not an http or https URL", p.URL)
	}
	c.require("platform.timeout", declaration.RangeFault(p.Timeout, MinPlatformTimeout, MaxPlatformTimeout))
}

func (c *checker) checkPeers(p Peers) {
	_, err := hex.DecodeString(p.Key)
	switch {
	case p.Key == "":
		c.fail("peers.key", "is missing")
	case len(p.Key) < MinKeyDigits || err != nil:
		// The key is secret, so the message doesn't show it.
		c.fail("peers.key", "is not an even number of at least %d hexadecimal digits", MinKeyDigits)
	}
	c.require("peers.heartbeat", declaration.RangeFault(p.Heartbeat, MinHeartbeat, MaxHeartbeat))
	c.require("peers.suspicion", declaration.RangeFault(p.Suspicion, 2*max(p.Heartbeat, MinHeartbeat), MaxSuspicion))
	c.checkSeeds(p.Seeds)
}

func (c *checker) checkSeeds(seeds []Seed) {
	for i, seed := range seeds {
		key := fmt.Sprintf("peers.seed#%d", i+1)
		c.require(key+".host", declaration.NameFault(string(seed.Host)))
		c.require(key+".data_centre", declaration.NameFault(string(seed.DataCentre)))
		c.require(key+".peer", declaration.AddressFault(seed.Peer))
		c.require(key+".handoff", declaration.AddressFault(seed.Handoff))
		if slices.ContainsFunc(seeds[:i], func(other Seed) bool { return other.Host == seed.Host }) {
			c.fail(key+".host", "%q is the host of an earlier seed", seed.Host)
		}
	}
}

func (c *checker) checkLimits(l Limits) {
	c.require("limits.flow_records", declaration.RangeFault(l.FlowRecords, MinRecords, MaxRecords))
	c.require("limits.exceptional_flows", declaration.RangeFault(l.ExceptionalFlow, MinRecords, MaxRecords))
	c.require("limits.request_keys", declaration.RangeFault(l.RequestKeys, MinRecords, MaxRecords))
	c.require("limits.queued_messages", declaration.RangeFault(l.QueuedMessages, 1, MaxQueuedMessages))
	c.require("limits.message_bytes", declaration.RangeFault(l.MessageBytes, MinMessageBytes, MaxMessageBytes))
	c.require("limits.packet_workers", declaration.RangeFault(l.PacketWorkers, 1, MaxPacketWorkers))
	c.require("limits.caller_clock_skew", declaration.RangeFault(l.CallerClockSkew, MinCallerClockSkew, MaxCallerClockSkew))
}

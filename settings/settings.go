// Package settings reads what one entry host is told about itself: its name,
// data centre, addresses, the platform's address, the key it shares with its
// peers, and the limits of what it keeps in memory. The format is TOML. Load
// reads a file, fills in defaults and reports every fault with its line.
package settings

import (
	"net/netip"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Settings is everything one entry host learns from its settings file.
type Settings struct {
	Host       fleet.HostID       `toml:"host"`
	DataCentre fleet.DataCentreID `toml:"data_centre"`
	Listen     Listen             `toml:"listen"`
	Platform   Platform           `toml:"platform"`
	Peers      Peers              `toml:"peers"`
	Limits     Limits             `toml:"limits"`
	Log        Log                `toml:"log"`
}

// Listen holds the addresses that the host serves on.
type Listen struct {
	Packet  netip.AddrPort `toml:"packet"`  // encapsulated packets from the fabric, UDP
	Handoff netip.AddrPort `toml:"handoff"` // packets from peers, UDP
	Request netip.AddrPort `toml:"request"` // HTTP requests from callers
	Peer    netip.AddrPort `toml:"peer"`    // WebSocket from peers, and UDP heartbeats on the same port
	Admin   netip.AddrPort `toml:"admin"`   // /metrics, /healthz, /readyz, /status
	// AnswerPort is the UDP port at which the callers' network takes
	// encapsulated packets, such as the resets that this host sends; default 5555.
	AnswerPort uint16 `toml:"answer_port"`
}

// Platform tells how the host reaches the platform's object API.
type Platform struct {
	URL     string        `toml:"url"`
	Timeout time.Duration `toml:"timeout"` // of one call that is not a watch; default 2s
}

// Peers tells how the host talks to other entry hosts.
type Peers struct {
	// Key is the secret that all hosts share, in hexadecimal, at least 32 digits.
	Key string `toml:"key"`
	// Seeds are peer addresses to ask when the platform cannot be reached.
	Seeds []Seed `toml:"seed"`
	// Heartbeat is the interval between heartbeats; default 500ms.
	Heartbeat time.Duration `toml:"heartbeat"`
	// Suspicion is how long a host that misses heartbeats may refute; default 2s.
	Suspicion time.Duration `toml:"suspicion"`
}

// Seed is a peer known from settings.
type Seed struct {
	Host       fleet.HostID       `toml:"host"`
	DataCentre fleet.DataCentreID `toml:"data_centre"`
	Peer       netip.AddrPort     `toml:"peer"`
	Handoff    netip.AddrPort     `toml:"handoff"`
}

// Limits bounds what the host keeps in memory. Zero fields take defaults.
type Limits struct {
	FlowRecords     int `toml:"flow_records"`      // default 1,000,000
	ExceptionalFlow int `toml:"exceptional_flows"` // flows that the current table would send elsewhere; default 200,000
	RequestKeys     int `toml:"request_keys"`      // default 200,000
	// CallerClockSkew is how far ahead of this host the clocks of callers may
	// be; default 10s. Keys that callers issued in this time before a fleet
	// started get an unknown outcome.
	CallerClockSkew time.Duration `toml:"caller_clock_skew"`
	QueuedMessages  int           `toml:"queued_messages"` // per peer; default 256
	MessageBytes    int           `toml:"message_bytes"`   // longest message between hosts; default 1 MiB
	PacketWorkers   int           `toml:"packet_workers"`  // goroutines that carry packets; default 2
}

// Log tells how the host logs.
type Log struct {
	Level string `toml:"level"` // trace, debug, info, warn, error; default info
	JSON  bool   `toml:"json"`
}

// Package settings reads the settings of one entry host: its name, data centre
// and addresses, the platform's address, the key that it shares with its peers,
// and limits on the data that it keeps in memory. The format is TOML. Load reads
// a file, fills in defaults and reports every problem with its line.
package settings

import (
	"net/netip"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Settings is the content of an entry host's settings file.
type Settings struct {
	Host       fleet.HostID       `toml:"host"`
	DataCentre fleet.DataCentreID `toml:"data_centre"`
	Listen     Listen             `toml:"listen"`
	Platform   Platform           `toml:"platform"`
	Peers      Peers              `toml:"peers"`
	Limits     Limits             `toml:"limits"`
	Log        Log                `toml:"log"`
}

// Listen holds the addresses on which the host listens.
type Listen struct {
	Packet  netip.AddrPort `toml:"packet"`  // encapsulated packets from the fabric, UDP
	Handoff netip.AddrPort `toml:"handoff"` // packets from peers, UDP
	Request netip.AddrPort `toml:"request"` // HTTP requests from callers
	Peer    netip.AddrPort `toml:"peer"`    // WebSocket from peers, and UDP heartbeats on the same port
	Admin   netip.AddrPort `toml:"admin"`   // /metrics, /healthz, /readyz, /status
	// AnswerPort is the UDP port on which the callers' network receives
	// encapsulated packets, such as the resets that this host sends; default 5555.
	AnswerPort uint16 `toml:"answer_port"`
}

// Platform configures access to the platform's object API.
type Platform struct {
	URL     string        `toml:"url"`
	Timeout time.Duration `toml:"timeout"` // for each call except watches; default 2s
}

// Peers configures communication with other entry hosts.
type Peers struct {
	// Key is the secret that all hosts share, in hexadecimal, at least 32 digits.
	Key string `toml:"key"`
	// Seeds are the peers to contact when the platform is unreachable.
	Seeds []Seed `toml:"seed"`
	// Heartbeat is the interval between heartbeats; default 500ms.
	Heartbeat time.Duration `toml:"heartbeat"`
	// Suspicion is how long a suspected host, one that missed heartbeats, has to
	// refute the suspicion; default 2s.
	Suspicion time.Duration `toml:"suspicion"`
}

// Seed is a peer listed in the settings.
type Seed struct {
	Host       fleet.HostID       `toml:"host"`
	DataCentre fleet.DataCentreID `toml:"data_centre"`
	Peer       netip.AddrPort     `toml:"peer"`
	Handoff    netip.AddrPort     `toml:"handoff"`
}

// Limits bounds the memory and the goroutines of the host. Zero fields mean the
// defaults.
type Limits struct {
	FlowRecords      int `toml:"flow_records"`      // default 1,000,000
	ExceptionalFlows int `toml:"exceptional_flows"` // flows that the current table maps to another server; default 200,000
	RequestKeys      int `toml:"request_keys"`      // default 200,000
	// CallerClockSkew is how far the clocks of callers may be ahead of this
	// host's clock; default 10s. Requests whose keys were issued within this
	// time before the fleet started get an unknown outcome.
	CallerClockSkew time.Duration `toml:"caller_clock_skew"`
	QueuedMessages  int           `toml:"queued_messages"` // per peer; default 256
	MessageBytes    int           `toml:"message_bytes"`   // maximum size of a message between hosts; default 1 MiB
	PacketWorkers   int           `toml:"packet_workers"`  // goroutines that forward packets; default 2
}

// Log configures logging.
type Log struct {
	Level string `toml:"level"` // trace, debug, info, warn, error; default info
	JSON  bool   `toml:"json"`
}

package catalogue

import (
	"net/netip"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Configuration is the configuration that operators have put in force.
type Configuration struct {
	Number uint64  `cbor:"number"`
	Routes []Route `cbor:"routes"`
	// Services holds the configured services by name.
	Services map[fleet.ServiceName]Service `cbor:"services"`
	// IdleTimeout is how long a flow may be idle before it may be discarded.
	IdleTimeout time.Duration `cbor:"idle_timeout"`
}

// Service is the configuration of one service.
type Service struct {
	Name fleet.ServiceName `cbor:"name"`
	// HealthPath is the path of the health checks of the service's servers.
	HealthPath string `cbor:"health_path"`
	// Warmup is how long a server can take only reduced load after its start.
	Warmup time.Duration `cbor:"warmup"`
	// ColdRate is the number of requests per second that a cold server can take. Zero
	// means that the configuration does not set it.
	ColdRate float64 `cbor:"cold_rate"`
}

// Route distributes the flows to one address among services.
type Route struct {
	Name    string         `cbor:"name"`
	Address netip.AddrPort `cbor:"address"`
	Shares  []Share        `cbor:"shares"`
	// Priority is the priority of the route's requests when capacity is short. Hosts of an
	// earlier version ignore it and Objective, and don't pass them on.
	Priority Priority `cbor:"priority,omitempty"`
	// Objective is the time within which callers expect a response. Zero means that the
	// configuration does not set it.
	Objective time.Duration `cbor:"objective,omitempty"`
}

// Priority is the priority of requests. 0 is the highest.
type Priority int

// Share is the part of a route's new flows that goes to a service, in proportion to its
// weight.
type Share struct {
	Service fleet.ServiceName `cbor:"service"`
	Weight  int               `cbor:"weight"`
}

// pick returns the service of a new flow, by a hash of the flow.
func (r *Route) pick(hash uint64) fleet.ServiceName {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	if total <= 0 {
		return ""
	}
	point := int(hash % uint64(total))
	for _, share := range r.Shares {
		if point < share.Weight {
			return share.Service
		}
		point -= share.Weight
	}
	return ""
}

func (t *Tracker) applyConfigurations(update Update) bool {
	changed := false
	if update.Full {
		t.configurationStored = false
	}
	for _, record := range update.Records {
		if record.Fault != "" || record.Removed {
			t.configurationStored = false
		}
		if record.Fault != "" {
			t.addChange(Change{Kind: ConfigurationUnreadable, Name: record.Name, Version: record.Changed, Fault: record.Fault})
		}
		if record.Configuration == nil {
			continue
		}
		if !t.supersedesConfiguration(record) {
			t.configurationStored = record.Changed == t.configurationVersion
			t.addIgnoredConfiguration(record)
			continue
		}
		t.configurationStored = true
		t.configuration = record.Configuration
		t.configurationVersion = record.Changed
		t.addChange(Change{Kind: ConfigurationInForce, Name: record.Name, Version: record.Changed, Number: t.configuration.Number})
		changed = true
	}
	return changed
}

// supersedesConfiguration reports whether the configuration of a record replaces the one in
// force. A restored store may hold an earlier one, so the operators' numbers decide between
// two of different epochs.
func (t *Tracker) supersedesConfiguration(record Record) bool {
	if t.configuration != nil && record.Changed.Epoch() != t.configurationVersion.Epoch() {
		return record.Configuration.Number >= t.configuration.Number
	}
	return record.Changed > t.configurationVersion
}

// addIgnoredConfiguration adds a change for a configuration that is ignored, unless it is
// the one in force.
func (t *Tracker) addIgnoredConfiguration(record Record) {
	if record.Configuration.Number != t.configuration.Number {
		t.addChange(Change{Kind: ConfigurationIgnored, Name: record.Name, Version: record.Changed, Number: record.Configuration.Number})
	}
}

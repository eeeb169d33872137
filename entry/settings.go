package entry

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/declaration"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/placement"
	"github.com/rattanthread/rattanthread/platform"
)

// SettingsVariable names the environment variable that holds the path of the
// settings file.
const SettingsVariable = "RATTANTHREAD_CONFIG"

// Settings are those of one entry host. docs/SETTINGS.md describes every key.
type Settings struct {
	Host       fleet.HostID       `toml:"host"`
	DataCentre fleet.DataCentreID `toml:"data_centre"`
	Listen     Listen             `toml:"listen"`
	Peers      PeerSettings       `toml:"peers"`
	Store      StoreSettings      `toml:"store"`
	Bounds     Bounds             `toml:"bounds"`
	Limits     Limits             `toml:"limits"`
}

// Listen holds the addresses of a host.
type Listen struct {
	// Packets receives the packets of callers. Packets to callers go to the
	// same port at their addresses.
	Packets netip.AddrPort `toml:"packets"`
	// Readiness answers the health checks of the fabric.
	Readiness netip.AddrPort `toml:"readiness"`
	// Peers is where other entry hosts learn what this one knows.
	Peers netip.AddrPort `toml:"peers"`
	// Metrics serves /metrics.
	Metrics netip.AddrPort `toml:"metrics"`
}

// PeerSettings tell how to find other entry hosts.
type PeerSettings struct {
	// Seeds are the addresses of some hosts, which may be down.
	Seeds []netip.AddrPort `toml:"seeds"`
}

// StoreSettings tell where the platform's store is.
type StoreSettings struct {
	Address netip.AddrPort `toml:"address"`
}

// Bounds are the times within which the host must act.
type Bounds struct {
	// Configuration is the time until a new configuration is in force.
	Configuration time.Duration `toml:"configuration"`
	// Drain is the time until a leaving server gets no new flow.
	Drain time.Duration `toml:"drain"`
	// Evacuation is the time until a data centre that is out gets no new flow.
	Evacuation time.Duration `toml:"evacuation"`
	// Stop is the time that a stopping process has.
	Stop time.Duration `toml:"stop"`
	// ColdOver and ColdSlack bound the new flows of a cold server: its rate times
	// ColdOver, and ColdSlack flows a second more, over all hosts.
	ColdOver  float64 `toml:"cold_over"`
	ColdSlack float64 `toml:"cold_slack"`
}

func (b Bounds) cold() placement.WarmupLimit {
	return placement.WarmupLimit{Factor: b.ColdOver, Slack: b.ColdSlack}
}

// Limits are what the host may use. Hosts with more of both read the store for
// the others.
type Limits struct {
	// Cores is the part of the processor. Zero means that it is not told.
	Cores float64 `toml:"cores"`
	// LinkMegabits is the link's bandwidth in Mbit/s. Zero means that it is not told.
	LinkMegabits float64 `toml:"link_megabits"`
}

// What a host needs of each for one step of strength.
const (
	coresPerStrength    = 0.1
	megabitsPerStrength = 20
)

// strength compares hosts by the scarcer of the two.
func (l Limits) strength() int {
	return int(min(l.Cores/coresPerStrength, l.LinkMegabits/megabitsPerStrength))
}

// Limits of the bounds.
const (
	minBound = 500 * time.Millisecond
	maxBound = 10 * time.Minute

	maxColdOver  = 100
	maxColdSlack = 1e6

	maxCores    = 1024
	maxMegabits = 1e6
)

// LoadSettings reads and checks a settings file. The error is
// declaration.Problems if the file could be read but something in it is wrong.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "load settings")
	}
	return ParseSettings(path, data)
}

// CheckDeployment checks the file that builds and places the system. The error is
// declaration.Problems if the file could be read.
func CheckDeployment(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "load the deploy file")
	}
	return platform.CheckDeployment(path, data)
}

// ParseSettings reads and checks settings that are in memory; name stands for
// the file in errors.
func ParseSettings(name string, data []byte) (Settings, error) {
	var s Settings
	document, problems := declaration.Parse(name, data)
	if len(problems) > 0 {
		return s, problems
	}
	problems = document.Decode(&s)
	return s, problems.Merge(s.check(document.Origin())).Err()
}

func (s *Settings) check(origin declaration.Origin) declaration.Problems {
	var problems declaration.Problems
	require := func(key, fault string) {
		if fault != "" {
			problems = append(problems, origin.Problem("", key, fault))
		}
	}
	require("host", declaration.NameFault(string(s.Host)))
	require("data_centre", declaration.NameFault(string(s.DataCentre)))
	require("listen.packets", declaration.AddressFault(s.Listen.Packets))
	require("listen.readiness", declaration.AddressFault(s.Listen.Readiness))
	require("listen.peers", declaration.AddressFault(s.Listen.Peers))
	require("listen.metrics", declaration.AddressFault(s.Listen.Metrics))
	for i, seed := range s.Peers.Seeds {
		require(fmt.Sprintf("peers.seeds.%d", i), declaration.AddressFault(seed))
	}
	require("store.address", declaration.AddressFault(s.Store.Address))
	require("bounds.configuration", declaration.RangeFault(s.Bounds.Configuration, minBound, maxBound))
	require("bounds.drain", declaration.RangeFault(s.Bounds.Drain, minBound, maxBound))
	require("bounds.evacuation", declaration.RangeFault(s.Bounds.Evacuation, minBound, maxBound))
	require("bounds.stop", declaration.RangeFault(s.Bounds.Stop, minBound, maxBound))
	require("bounds.cold_over", declaration.RangeFault(s.Bounds.ColdOver, 0, maxColdOver))
	require("bounds.cold_slack", declaration.RangeFault(s.Bounds.ColdSlack, 0, maxColdSlack))
	require("limits.cores", declaration.RangeFault(s.Limits.Cores, 0, maxCores))
	require("limits.link_megabits", declaration.RangeFault(s.Limits.LinkMegabits, 0, maxMegabits))
	problems.Sort()
	return problems
}

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

// SettingsVariable is the environment variable that holds the path of the settings file.
const SettingsVariable = "RATTANTHREAD_CONFIG"

// Settings are the settings of one entry host. docs/SETTINGS.md describes every key.
type Settings struct {
	Host       fleet.HostID       `toml:"host"`
	DataCentre fleet.DataCentreID `toml:"data_centre"`
	Listen     Listen             `toml:"listen"`
	Peers      PeerSettings       `toml:"peers"`
	Store      StoreSettings      `toml:"store"`
	Bounds     Bounds             `toml:"bounds"`
	Limits     Limits             `toml:"limits"`
	Load       LoadBalancing      `toml:"load"`
}

// Listen holds the addresses on which a host listens.
type Listen struct {
	// Packets receives the packets of callers. Packets to callers are sent to the same port
	// at their addresses.
	Packets netip.AddrPort `toml:"packets"`
	// Readiness serves the health checks of the fabric.
	Readiness netip.AddrPort `toml:"readiness"`
	// Peers serves feeds to other entry hosts.
	Peers netip.AddrPort `toml:"peers"`
	// Metrics serves /metrics.
	Metrics netip.AddrPort `toml:"metrics"`
}

// PeerSettings are the settings for finding other entry hosts.
type PeerSettings struct {
	// Seeds are the addresses of some hosts, which may be down.
	Seeds []netip.AddrPort `toml:"seeds"`
}

// StoreSettings are the settings of the platform's store.
type StoreSettings struct {
	Address netip.AddrPort `toml:"address"`
}

// Bounds are the times within which the host must act, and the bound on the new flows of cold
// servers.
type Bounds struct {
	// Configuration is the maximum time until a new configuration is in force.
	Configuration time.Duration `toml:"configuration"`
	// Drain is the maximum time until a draining server gets no new flows.
	Drain time.Duration `toml:"drain"`
	// Evacuation is the maximum time until a data centre out of service gets no new flows.
	Evacuation time.Duration `toml:"evacuation"`
	// Stop is the maximum time for a planned stop.
	Stop time.Duration `toml:"stop"`
	// ColdOver and ColdSlack bound the new flows per second of a cold server, over all hosts:
	// its rate times ColdOver, plus ColdSlack.
	ColdOver  float64 `toml:"cold_over"`
	ColdSlack float64 `toml:"cold_slack"`
}

func (b Bounds) warmupLimit() placement.WarmupLimit {
	return placement.WarmupLimit{Factor: b.ColdOver, Slack: b.ColdSlack}
}

// LoadBalancing holds the settings of the load estimates.
type LoadBalancing struct {
	// Learning is LearningOn if it is empty.
	Learning Learning `toml:"learning"`
}

// Learning says whether the host learns how much load each server handles well.
type Learning string

// Values of Learning.
const (
	LearningOn Learning = "on"
	// LearningOff means that no loads are reported or used.
	LearningOff Learning = "off"
)

// UnmarshalText accepts LearningOn and LearningOff only.
func (l *Learning) UnmarshalText(text []byte) error {
	*l = Learning(text)
	if *l != LearningOn && *l != LearningOff {
		return errors.Errorf("%q is neither %q nor %q", string(*l), string(LearningOn), string(LearningOff))
	}
	return nil
}

// Limits are the resources of the host. Hosts with more of both read the store for the
// others.
type Limits struct {
	// Cores is the number of CPU cores, possibly a fraction. Zero means unknown.
	Cores float64 `toml:"cores"`
	// LinkMegabits is the bandwidth of the link in Mbit/s. Zero means unknown.
	LinkMegabits float64 `toml:"link_megabits"`
}

// Resources per unit of strength.
const (
	coresPerStrength    = 0.1
	megabitsPerStrength = 20
)

// strength returns the strength of a host, which its scarcer resource determines.
func (l Limits) strength() int {
	return int(min(l.Cores/coresPerStrength, l.LinkMegabits/megabitsPerStrength))
}

// Ranges of the settings.
const (
	minBound = 500 * time.Millisecond
	maxBound = 10 * time.Minute

	maxColdOver  = 100
	maxColdSlack = 1e6

	maxCores    = 1024
	maxMegabits = 1e6
)

// LoadSettings reads and checks a settings file. The error is of type
// declaration.Problems if the file could be read but is invalid.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "load settings")
	}
	return ParseSettings(path, data)
}

// CheckDeployment checks the file that describes the build and the deployment of the system.
// The error is of type declaration.Problems if the file could be read.
func CheckDeployment(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "load deploy file")
	}
	return platform.CheckDeployment(path, data)
}

// ParseSettings parses and checks settings. The name identifies the file in errors.
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
	report := func(key, reason string) {
		if reason != "" {
			problems = append(problems, origin.Problem("", key, reason))
		}
	}
	report("host", declaration.CheckName(string(s.Host)))
	report("data_centre", declaration.CheckName(string(s.DataCentre)))
	report("listen.packets", declaration.CheckAddress(s.Listen.Packets))
	report("listen.readiness", declaration.CheckAddress(s.Listen.Readiness))
	report("listen.peers", declaration.CheckAddress(s.Listen.Peers))
	report("listen.metrics", declaration.CheckAddress(s.Listen.Metrics))
	for i, seed := range s.Peers.Seeds {
		report(fmt.Sprintf("peers.seeds.%d", i), declaration.CheckAddress(seed))
	}
	report("store.address", declaration.CheckAddress(s.Store.Address))
	report("bounds.configuration", declaration.CheckRange(s.Bounds.Configuration, minBound, maxBound))
	report("bounds.drain", declaration.CheckRange(s.Bounds.Drain, minBound, maxBound))
	report("bounds.evacuation", declaration.CheckRange(s.Bounds.Evacuation, minBound, maxBound))
	report("bounds.stop", declaration.CheckRange(s.Bounds.Stop, minBound, maxBound))
	report("bounds.cold_over", declaration.CheckRange(s.Bounds.ColdOver, 0, maxColdOver))
	report("bounds.cold_slack", declaration.CheckRange(s.Bounds.ColdSlack, 0, maxColdSlack))
	report("limits.cores", declaration.CheckRange(s.Limits.Cores, 0, maxCores))
	report("limits.link_megabits", declaration.CheckRange(s.Limits.LinkMegabits, 0, maxMegabits))
	problems.Sort()
	return problems
}

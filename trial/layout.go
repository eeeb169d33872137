package trial

import (
	"fmt"
	"io/fs"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/examples"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/settings"
)

// The services of the example configuration.
const (
	serviceHints  fleet.ServiceName = "hints"  // long TCP flows
	serviceTally  fleet.ServiceName = "tally"  // long UDP flows
	serviceMaps   fleet.ServiceName = "maps"   // idempotent requests
	serviceScores fleet.ServiceName = "scores" // requests that run at most once
)

// serversOf is how many backend servers each service has in a data centre.
var serversOf = []struct {
	service fleet.ServiceName
	servers int
}{
	{serviceHints, 7},
	{serviceTally, 2},
	{serviceMaps, 2},
	{serviceScores, 4},
}

const (
	warmupTime     = 3 * time.Second
	maxConnections = 2000
	serverSlots    = 2
	// clockSkew is that of callers, which run on the hosts' own clock.
	clockSkew = 500 * time.Millisecond
)

// newSet makes the configuration of a trial: the example's services, data
// centres and rules, with more servers, which warm up sooner and listen on
// ports of p.
func newSet(p *ports) (config.Set, error) {
	files, err := fs.Sub(examples.Files, "configuration")
	if err != nil {
		return config.Set{}, errors.Wrap(err, "open the example configuration")
	}
	set, err := config.LoadFS(files)
	if err != nil {
		return config.Set{}, errors.Wrap(err, "load the example configuration")
	}
	set.Servers = nil
	for _, centre := range set.DataCentres {
		for _, s := range serversOf {
			for i := range s.servers {
				server, err := newServer(centre.Name, s.service, i+1, p)
				if err != nil {
					return config.Set{}, err
				}
				set.Servers = append(set.Servers, server)
			}
		}
	}
	set = set.Normalised()
	if problems := config.Check(set); len(problems) > 0 {
		return config.Set{}, problems
	}
	return set, nil
}

func newServer(centre fleet.DataCentreID, service fleet.ServiceName, number int, p *ports) (config.Server, error) {
	choose := p.tcp
	if service == serviceHints || service == serviceTally {
		choose = p.udp
	}
	address, err := choose()
	if err != nil {
		return config.Server{}, err
	}
	health, err := p.tcp()
	if err != nil {
		return config.Server{}, err
	}
	return config.Server{
		Name:           fleet.ServerID(fmt.Sprintf("%s-%s-%d", service, centre, number)),
		Service:        service,
		DataCentre:     centre,
		Address:        address,
		HealthAddress:  health,
		Slots:          serverSlots,
		MaxConnections: maxConnections,
		WarmupTime:     warmupTime,
	}, nil
}

// newSettings makes the settings of all entry hosts, each of which has the
// others as seeds.
func newSettings(centres []fleet.DataCentreID, perCentre int, platformURL, key string, p *ports) ([]settings.Settings, error) {
	var all []settings.Settings
	for _, centre := range centres {
		for i := range perCentre {
			listen, err := newListen(p)
			if err != nil {
				return nil, err
			}
			all = append(all, settings.Settings{
				Host:       fleet.HostID(fmt.Sprintf("%s-entry-%d", centre, i+1)),
				DataCentre: centre,
				Listen:     listen,
				Platform:   settings.Platform{URL: platformURL},
				Peers:      settings.Peers{Key: key},
				Limits:     settings.Limits{CallerClockSkew: clockSkew},
			})
		}
	}
	for i := range all {
		all[i].Peers.Seeds = seedsFor(all, i)
		all[i] = all[i].Normalised()
		if err := all[i].Validate(); err != nil {
			return nil, err
		}
	}
	return all, nil
}

func seedsFor(all []settings.Settings, self int) []settings.Seed {
	var seeds []settings.Seed
	for i, other := range all {
		if i == self {
			continue
		}
		seeds = append(seeds, settings.Seed{
			Host:       other.Host,
			DataCentre: other.DataCentre,
			Peer:       other.Listen.Peer,
			Handoff:    other.Listen.Handoff,
		})
	}
	return seeds
}

func newListen(p *ports) (settings.Listen, error) {
	listen := settings.Listen{AnswerPort: answerPort}
	for _, choice := range []struct {
		address *netip.AddrPort
		choose  func() (netip.AddrPort, error)
	}{
		{&listen.Packet, p.udp},
		{&listen.Handoff, p.udp},
		{&listen.Request, p.tcp},
		{&listen.Peer, p.both},
		{&listen.Admin, p.tcp},
	} {
		address, err := choice.choose()
		if err != nil {
			return settings.Listen{}, err
		}
		*choice.address = address
	}
	return listen, nil
}

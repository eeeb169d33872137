package demo

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

// serversPerService is the number of backend servers of each service in each data
// centre.
var serversPerService = []struct {
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
	// callerClockSkew is short because callers use the hosts' clock.
	callerClockSkew = 500 * time.Millisecond
)

// newConfigSet returns the configuration of a demonstration: the example's services,
// data centres and rules, with more servers, which warm up faster and listen on
// allocated ports.
func newConfigSet(ports *portAllocator) (config.Set, error) {
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
		for _, s := range serversPerService {
			for i := range s.servers {
				server, err := newServer(centre.Name, s.service, i+1, ports)
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

func newServer(centre fleet.DataCentreID, service fleet.ServiceName, number int, ports *portAllocator) (config.Server, error) {
	allocate := ports.allocateTCP
	if service == serviceHints || service == serviceTally {
		allocate = ports.allocateUDP
	}
	address, err := allocate()
	if err != nil {
		return config.Server{}, err
	}
	health, err := ports.allocateTCP()
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

// newSettings returns the settings of all entry hosts. The seeds of each host are
// all other hosts.
func newSettings(centres []fleet.DataCentreID, perCentre int, platformURL, key string, ports *portAllocator) ([]settings.Settings, error) {
	var hosts []settings.Settings
	for _, centre := range centres {
		for i := range perCentre {
			listen, err := newListen(ports)
			if err != nil {
				return nil, err
			}
			hosts = append(hosts, settings.Settings{
				Host:       fleet.HostID(fmt.Sprintf("%s-entry-%d", centre, i+1)),
				DataCentre: centre,
				Listen:     listen,
				Platform:   settings.Platform{URL: platformURL},
				Peers:      settings.Peers{Key: key},
				Limits:     settings.Limits{CallerClockSkew: callerClockSkew},
			})
		}
	}
	for i := range hosts {
		hosts[i].Peers.Seeds = seedsFor(hosts, i)
		hosts[i] = hosts[i].Normalised()
		if err := hosts[i].Validate(); err != nil {
			return nil, err
		}
	}
	return hosts, nil
}

func seedsFor(hosts []settings.Settings, self int) []settings.Seed {
	var seeds []settings.Seed
	for i, other := range hosts {
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

func newListen(ports *portAllocator) (settings.Listen, error) {
	listen := settings.Listen{AnswerPort: answerPort}
	for _, endpoint := range []struct {
		address  *netip.AddrPort
		allocate func() (netip.AddrPort, error)
	}{
		{&listen.Packet, ports.allocateUDP},
		{&listen.Handoff, ports.allocateUDP},
		{&listen.Request, ports.allocateTCP},
		{&listen.Peer, ports.allocateBoth},
		{&listen.Admin, ports.allocateTCP},
	} {
		address, err := endpoint.allocate()
		if err != nil {
			return settings.Listen{}, err
		}
		*endpoint.address = address
	}
	return listen, nil
}

package trial

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/settings"
)

// The services of a trial.
const (
	serviceHunt   fleet.ServiceName = "hunt"   // long TCP flows
	serviceHints  fleet.ServiceName = "hints"  // long UDP flows
	serviceMaps   fleet.ServiceName = "maps"   // idempotent requests
	serviceOrders fleet.ServiceName = "orders" // requests that run at most once
)

var (
	huntAddress  = netip.MustParseAddrPort("10.20.0.1:7000")
	hintsAddress = netip.MustParseAddrPort("10.20.0.2:7001")
)

// serversOf is how many backend servers each service has in a data centre.
var serversOf = []struct {
	service fleet.ServiceName
	servers int
}{
	{serviceHunt, 7},
	{serviceHints, 2},
	{serviceMaps, 2},
	{serviceOrders, 4},
}

const (
	region         fleet.RegionID = "tamsui"
	coldRate                      = 20.0 // new flows or requests a second
	warmupTime                    = 3 * time.Second
	maxConnections                = 2000
	serverSlots                   = 2
	requestTimeout                = 5 * time.Second
	silentTimeout                 = 20 * time.Second
	idleTimeout                   = 60 * time.Second
)

var dataCentreNames = []fleet.DataCentreID{"bali", "sanzhi", "shimen", "jinshan"}

func services() []config.Service {
	limits := config.FlowLimits{IdleTimeout: idleTimeout, SilentTimeout: silentTimeout}
	return []config.Service{
		{Name: serviceHunt, Kind: config.KindFlow, Address: huntAddress, Protocol: "tcp", Flow: limits},
		{Name: serviceHints, Kind: config.KindFlow, Address: hintsAddress, Protocol: "udp", Flow: limits},
		{
			Name:    serviceMaps,
			Kind:    config.KindRequest,
			Host:    hostOf(serviceMaps),
			Request: config.RequestLimits{Timeout: requestTimeout},
		},
		{
			Name:    serviceOrders,
			Kind:    config.KindRequest,
			Host:    hostOf(serviceOrders),
			Request: config.RequestLimits{Timeout: requestTimeout},
		},
	}
}

// hostOf returns the HTTP host name of a request service.
func hostOf(service fleet.ServiceName) string {
	return string(service) + ".example"
}

// newSet makes the configuration of a trial, with ports of p.
func newSet(centres []fleet.DataCentreID, p *ports) (config.Set, error) {
	set := config.Set{Services: services()}
	for _, centre := range centres {
		set.DataCentres = append(set.DataCentres, config.DataCentre{
			Name:   centre,
			Region: region,
			State:  config.StateIn,
		})
		for _, s := range serversOf {
			for i := range s.servers {
				server, err := newServer(centre, s.service, i+1, p)
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
	if service == serviceHunt || service == serviceHints {
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
		ColdRate:       coldRate,
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

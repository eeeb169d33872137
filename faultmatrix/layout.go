package faultmatrix

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// The entry hosts and data centres of every run.
var (
	initialHosts = []fleet.HostID{"a1", "a2", "a3", "b1", "b2", "b3"}
	centreA      = fleet.DataCentreID("a")
	centreB      = fleet.DataCentreID("b")
)

const (
	serviceHints  = fleet.ServiceName("hints")
	serviceTally  = fleet.ServiceName("tally")
	serviceScores = fleet.ServiceName("scores")

	coldRate = 20.0 // new flows or requests per second that a cold server can handle
)

// centreOf returns the data centre that the name of a host or server starts with.
func centreOf[T ~string](name T) fleet.DataCentreID { return fleet.DataCentreID(string(name)[:1]) }

// initialSet returns a configuration with two flow services and a request service,
// each with servers in both data centres.
func initialSet() config.Set {
	set := config.Set{
		DataCentres: []config.DataCentre{{Name: centreA}, {Name: centreB}},
		Services: []config.Service{
			{Name: serviceHints, Kind: config.KindFlow, Address: netip.MustParseAddrPort("127.200.0.1:7000"), Protocol: "tcp"},
			{Name: serviceTally, Kind: config.KindFlow, Address: netip.MustParseAddrPort("127.200.0.1:7001"), Protocol: "tcp"},
			{Name: serviceScores, Kind: config.KindRequest, Host: "scores.test"},
		},
	}
	for _, service := range []fleet.ServiceName{serviceHints, serviceTally, serviceScores} {
		for _, centre := range []fleet.DataCentreID{centreA, centreB} {
			for i := range 2 {
				set.Servers = append(set.Servers, serverObject(service, centre, i+1))
			}
		}
	}
	return set.Normalised()
}

func serverObject(service fleet.ServiceName, centre fleet.DataCentreID, number int) config.Server {
	centreNumber := 1
	if centre == centreB {
		centreNumber = 2
	}
	port := map[fleet.ServiceName]uint16{serviceHints: 7100, serviceTally: 7101, serviceScores: 7102}[service]
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 201, byte(centreNumber), byte(number)}), port)
	return config.Server{
		Name:          fleet.ServerID(fmt.Sprintf("%s-%s-%d", centre, service, number)),
		Service:       service,
		DataCentre:    centre,
		Address:       address,
		HealthAddress: netip.AddrPortFrom(address.Addr(), port+100),
		ColdRate:      coldRate,
		WarmupTime:    warmupTime(service),
	}
}

// warmupTime returns the warm-up time of a service. It is long for the request
// service, so that the limit on new work hardly grows while it is checked.
func warmupTime(service fleet.ServiceName) time.Duration {
	if service == serviceScores {
		return 20 * time.Second
	}
	return 2 * time.Second
}

func cloneSet(set config.Set) config.Set {
	set.DataCentres = slices.Clone(set.DataCentres)
	set.Services = slices.Clone(set.Services)
	set.Servers = slices.Clone(set.Servers)
	set.Rules = slices.Clone(set.Rules)
	return set
}

package capacity

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// Size is the number of data centres, entry hosts, services and servers of a fleet.
type Size struct {
	DataCentres int
	Hosts       int
	Services    int
	Servers     int
}

// startTime is the virtual time at which every measurement starts.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// dataCentre returns the data centre of the object with the given index.
func (s Size) dataCentre(i int) fleet.DataCentreID {
	return fleet.DataCentreID(fmt.Sprintf("tp%d", i%s.DataCentres+1))
}

// hosts returns the entry hosts. The first is the measured one.
func (s Size) hosts() []fleet.Host {
	hosts := make([]fleet.Host, s.Hosts)
	for i := range hosts {
		address := netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)})
		hosts[i] = fleet.Host{
			ID:             fleet.HostID(fmt.Sprintf("host-%03d", i)),
			DataCentre:     s.dataCentre(i),
			Incarnation:    1,
			PeerAddress:    netip.AddrPortFrom(address, 6083),
			HandoffAddress: netip.AddrPortFrom(address, 6082),
		}
	}
	return hosts
}

// configuration returns a configuration in which every second service is a request
// service.
func (s Size) configuration(revision fleet.Revision) config.PublishedSet {
	var set config.Set
	for i := range s.DataCentres {
		set.DataCentres = append(set.DataCentres, config.DataCentre{
			Name: s.dataCentre(i), Region: fleet.RegionID(fmt.Sprintf("r%d", i%2+1)), State: config.StateIn,
		})
	}
	for i := range s.Services {
		set.Services = append(set.Services, s.service(i))
	}
	for i := range s.Servers {
		set.Servers = append(set.Servers, s.server(i))
	}
	// One server changes with each revision.
	set.Servers[0].Weight = fleet.Weight(100 + revision)
	return config.PublishedSet{
		History: "h", Revision: revision, Published: startTime, Publication: fmt.Sprint("p", revision), Set: set.Normalised(),
	}
}

func (s Size) service(i int) config.Service {
	service := config.Service{Name: serviceName(i)}
	if i%2 == 1 {
		service.Kind = config.KindRequest
		service.Host = string(service.Name) + ".example"
		return service
	}
	service.Kind = config.KindFlow
	service.Protocol = "tcp"
	service.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 443)
	return service
}

func serviceName(i int) fleet.ServiceName {
	return fleet.ServiceName(fmt.Sprintf("service-%03d", i))
}

func (s Size) server(i int) config.Server {
	return config.Server{
		Name:       fleet.ServerID(fmt.Sprintf("server-%04d", i)),
		Service:    serviceName(i % s.Services),
		DataCentre: s.dataCentre(i / s.Services),
		Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, byte(i >> 8), byte(i)}), 443),
	}
}

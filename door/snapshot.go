package door

import (
	"net"
	"net/netip"
	"strings"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// Snapshot is what a Door knows of the services at one moment. It is not
// changed once published.
type Snapshot struct {
	// Services by HTTP host name, in lower case and without port.
	Services map[string]*Service
}

// Service is a request service and the servers that may run its requests.
type Service struct {
	Name    fleet.ServiceName
	Limits  config.RequestLimits
	Servers []Server
}

// Server is a backend server of a service.
type Server struct {
	backend.Candidate
	Address   netip.AddrPort
	Admission backend.Admission
}

// service returns the service for the Host header, or nil.
func (s *Snapshot) service(host string) *Service {
	if s == nil {
		return nil
	}
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return s.Services[strings.ToLower(host)]
}

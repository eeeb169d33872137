package frontend

import (
	"net"
	"net/netip"
	"strings"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// Snapshot is the state of the services at one moment. It must not be modified after
// it is published.
type Snapshot struct {
	// Services maps HTTP host names, in lower case and without port, to services.
	Services map[string]*Service
}

// Service is an HTTP service and its backend servers.
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

// serviceForHost returns the service for the value of a Host header, or nil.
func (s *Snapshot) serviceForHost(host string) *Service {
	if s == nil {
		return nil
	}
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return s.Services[strings.ToLower(host)]
}

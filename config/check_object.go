package config

import (
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/rattanthread/rattanthread/declaration"
)

// Limits of what an object may declare.
const (
	MinIdleTimeout    = time.Second
	MaxIdleTimeout    = 24 * time.Hour
	MinSilentTimeout  = time.Second
	MinRequestTimeout = 10 * time.Millisecond
	MaxRequestTimeout = 10 * time.Minute
	MaxMaxBodyBytes   = int64(64 << 20)
	MinRetryRatio     = 0.001
	MaxRetryRatio     = 1.0
	MaxMaxInFlight    = 1_000_000
	MinKeyLifetime    = time.Second
	MaxKeyLifetime    = 24 * time.Hour
	MaxWeight         = 10_000
	MaxSlots          = 10_000
	MaxMaxConnections = 1_000_000
	MinColdRate       = 0.01
	MaxColdRate       = 100_000.0
	MinWarmupTime     = time.Second
	MaxWarmupTime     = time.Hour
	MinMaxShare       = 0.01
)

var hostPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?(\.[a-z0-9]([a-z0-9-]*[a-z0-9])?)*$`)

func (c *checker) checkNames() {
	checkNames(c, c.set.DataCentres, DataCentre.key)
	checkNames(c, c.set.Services, Service.key)
	checkNames(c, c.set.Servers, Server.key)
	checkNames(c, c.set.Rules, Rule.key)
}

func checkNames[K ~string, T declared](c *checker, objects []T, key func(T) K) {
	first := make(map[K]T, len(objects))
	for _, object := range objects {
		name := key(object)
		c.require(object, "name", declaration.NameFault(string(name)))
		if earlier, ok := first[name]; ok && name != "" {
			c.fail(object, "name", "the name is also that of %s", place(earlier))
			continue
		}
		first[name] = object
	}
}

// require records the fault of a key, if there is one.
func (c *checker) require(object declared, key, fault string) {
	if fault != "" {
		c.fail(object, key, "%s", fault)
	}
}

func (c *checker) checkDataCentre(d DataCentre) {
	c.require(d, "region", declaration.NameFault(string(d.Region)))
	if d.State != StateIn && d.State != StateOut {
		c.fail(d, "state", "%q is neither %q nor %q", d.State, StateIn, StateOut)
	}
}

func (c *checker) checkService(s Service) {
	switch s.Kind {
	case KindFlow:
		c.checkFlowService(s)
	case KindRequest:
		c.checkRequestService(s)
	default:
		c.fail(s, "kind", "%q is neither %q nor %q", s.Kind, KindFlow, KindRequest)
	}
}

func (c *checker) checkFlowService(s Service) {
	c.checkAddress(s, "address", s.Address)
	if s.Protocol != "tcp" && s.Protocol != "udp" {
		c.fail(s, "protocol", "%q is neither \"tcp\" nor \"udp\"", s.Protocol)
	}
	if s.Host != "" {
		c.fail(s, "host", "belongs to a service of kind %q", KindRequest)
	}
	if s.Request != (RequestLimits{}) {
		c.fail(s, "request", "belongs to a service of kind %q", KindRequest)
	}
	c.require(s, "flow.idle_timeout", declaration.RangeFault(s.Flow.IdleTimeout, MinIdleTimeout, MaxIdleTimeout))
	c.require(s, "flow.silent_timeout", declaration.RangeFault(s.Flow.SilentTimeout, MinSilentTimeout, max(s.Flow.IdleTimeout, MinSilentTimeout)))
}

func (c *checker) checkRequestService(s Service) {
	switch {
	case s.Host == "":
		c.fail(s, "host", "is missing: a service of kind %q is found by its HTTP host name", KindRequest)
	case len(s.Host) > 253 || !hostPattern.MatchString(s.Host):
		c.fail(s, "host", "%q is not a lower-case host name without port", s.Host)
	}
	if s.Address != (netip.AddrPort{}) {
		c.checkAddress(s, "address", s.Address)
	}
	if s.Protocol != "" {
		c.fail(s, "protocol", "belongs to a service of kind %q", KindFlow)
	}
	if s.Flow != (FlowLimits{}) {
		c.fail(s, "flow", "belongs to a service of kind %q", KindFlow)
	}
	c.require(s, "request.timeout", declaration.RangeFault(s.Request.Timeout, MinRequestTimeout, MaxRequestTimeout))
	c.require(s, "request.max_body_bytes", declaration.RangeFault(s.Request.MaxBodyBytes, 1, MaxMaxBodyBytes))
	c.require(s, "request.retry_ratio", declaration.RangeFault(s.Request.RetryRatio, MinRetryRatio, MaxRetryRatio))
	c.require(s, "request.max_in_flight", declaration.RangeFault(s.Request.MaxInFlight, 1, MaxMaxInFlight))
	c.require(s, "request.key_lifetime", declaration.RangeFault(s.Request.KeyLifetime, max(s.Request.Timeout, MinKeyLifetime), MaxKeyLifetime))
}

func (c *checker) checkServer(s Server) {
	if _, ok := c.services[s.Service]; !ok {
		c.missing(s, "service", ObjectService, string(s.Service))
	}
	if _, ok := c.centres[s.DataCentre]; !ok {
		c.missing(s, "data_centre", ObjectDataCentre, string(s.DataCentre))
	}
	c.checkAddress(s, "address", s.Address)
	c.checkAddress(s, "health_address", s.HealthAddress)
	c.require(s, "weight", declaration.RangeFault(s.Weight, 1, MaxWeight))
	c.require(s, "slots", declaration.RangeFault(s.Slots, 1, MaxSlots))
	c.require(s, "max_connections", declaration.RangeFault(s.MaxConnections, 1, MaxMaxConnections))
	c.require(s, "cold_rate", declaration.RangeFault(s.ColdRate, MinColdRate, MaxColdRate))
	c.require(s, "warmup_time", declaration.RangeFault(s.WarmupTime, MinWarmupTime, MaxWarmupTime))
}

func (c *checker) checkRule(r Rule) {
	if _, ok := c.services[r.Service]; !ok {
		c.missing(r, "service", ObjectService, string(r.Service))
	}
	if len(r.Centres) == 0 {
		c.fail(r, "data_centres", "is missing")
	}
	for i, centre := range r.Centres {
		if _, ok := c.centres[centre]; !ok {
			c.missing(r, "data_centres", ObjectDataCentre, string(centre))
		}
		if slices.Contains(r.Centres[:i], centre) {
			c.fail(r, "data_centres", "names %q twice", centre)
		}
	}
	switch r.Kind {
	case RuleMaxShare:
		c.require(r, "max_share", declaration.RangeFault(r.MaxShare, MinMaxShare, 1))
	case RuleOnly, RuleExclude:
		if r.MaxShare != 0 {
			c.fail(r, "max_share", "belongs to a rule of kind %q", RuleMaxShare)
		}
	default:
		c.fail(r, "kind", "%q is none of %q, %q and %q", r.Kind, RuleOnly, RuleExclude, RuleMaxShare)
	}
}

// missing reports a reference to an object that is not declared.
func (c *checker) missing(object declared, key string, kind ObjectKind, name string) {
	if name == "" {
		c.fail(object, key, "is missing")
		return
	}
	c.fail(object, key, "there is no %s %q", kind, name)
}

func (c *checker) checkAddress(object declared, key string, address netip.AddrPort) {
	c.require(object, key, declaration.AddressFault(address))
	if address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		c.fail(object, key, "%s is not the address of one host", address)
	}
}

func list[T ~string](names []T) string {
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = string(name)
	}
	return strings.Join(texts, ", ")
}

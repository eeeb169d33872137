package config

import (
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/rattanthread/rattanthread/declaration"
)

// Bounds of the values that an object may declare.
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

func checkNames[K ~string, T declaredObject](c *checker, objects []T, key func(T) K) {
	first := make(map[K]T, len(objects))
	for _, object := range objects {
		name := key(object)
		c.report(object, "name", declaration.CheckName(string(name)))
		if earlier, ok := first[name]; ok && name != "" {
			c.reportf(object, "name", "is already used by %s", location(earlier))
			continue
		}
		first[name] = object
	}
}

// report records a problem with the key unless the reason is empty.
func (c *checker) report(object declaredObject, key, reason string) {
	if reason != "" {
		c.reportf(object, key, "%s", reason)
	}
}

func (c *checker) checkDataCentre(d DataCentre) {
	c.report(d, "region", declaration.CheckName(string(d.Region)))
	if d.State != StateIn && d.State != StateOut {
		c.reportf(d, "state", "%q is neither %q nor %q", d.State, StateIn, StateOut)
	}
}

func (c *checker) checkService(s Service) {
	switch s.Kind {
	case KindFlow:
		c.checkFlowService(s)
	case KindRequest:
		c.checkRequestService(s)
	default:
		c.reportf(s, "kind", "%q is neither %q nor %q", s.Kind, KindFlow, KindRequest)
	}
}

func (c *checker) checkFlowService(s Service) {
	c.checkAddress(s, "address", s.Address)
	if s.Protocol != "tcp" && s.Protocol != "udp" {
		c.reportf(s, "protocol", "%q is neither \"tcp\" nor \"udp\"", s.Protocol)
	}
	if s.Host != "" {
		c.reportf(s, "host", "is valid only for services of kind %q", KindRequest)
	}
	if s.Request != (RequestLimits{}) {
		c.reportf(s, "request", "is valid only for services of kind %q", KindRequest)
	}
	c.report(s, "flow.idle_timeout", declaration.CheckRange(s.Flow.IdleTimeout, MinIdleTimeout, MaxIdleTimeout))
	c.report(s, "flow.silent_timeout", declaration.CheckRange(s.Flow.SilentTimeout, MinSilentTimeout, max(s.Flow.IdleTimeout, MinSilentTimeout)))
}

func (c *checker) checkRequestService(s Service) {
	switch {
	case s.Host == "":
		c.reportf(s, "host", "is missing: services of kind %q are selected by HTTP host name", KindRequest)
	case len(s.Host) > 253 || !hostPattern.MatchString(s.Host):
		c.reportf(s, "host", "%q is not a lower-case host name without port", s.Host)
	}
	if s.Address != (netip.AddrPort{}) {
		c.checkAddress(s, "address", s.Address)
	}
	if s.Protocol != "" {
		c.reportf(s, "protocol", "is valid only for services of kind %q", KindFlow)
	}
	if s.Flow != (FlowLimits{}) {
		c.reportf(s, "flow", "is valid only for services of kind %q", KindFlow)
	}
	c.report(s, "request.timeout", declaration.CheckRange(s.Request.Timeout, MinRequestTimeout, MaxRequestTimeout))
	c.report(s, "request.max_body_bytes", declaration.CheckRange(s.Request.MaxBodyBytes, 1, MaxMaxBodyBytes))
	c.report(s, "request.retry_ratio", declaration.CheckRange(s.Request.RetryRatio, MinRetryRatio, MaxRetryRatio))
	c.report(s, "request.max_in_flight", declaration.CheckRange(s.Request.MaxInFlight, 1, MaxMaxInFlight))
	c.report(s, "request.key_lifetime", declaration.CheckRange(s.Request.KeyLifetime, max(s.Request.Timeout, MinKeyLifetime), MaxKeyLifetime))
}

func (c *checker) checkServer(s Server) {
	if _, ok := c.services[s.Service]; !ok {
		c.reportUndeclared(s, "service", ObjectService, string(s.Service))
	}
	if _, ok := c.centres[s.DataCentre]; !ok {
		c.reportUndeclared(s, "data_centre", ObjectDataCentre, string(s.DataCentre))
	}
	c.checkAddress(s, "address", s.Address)
	c.checkAddress(s, "health_address", s.HealthAddress)
	c.report(s, "weight", declaration.CheckRange(s.Weight, 1, MaxWeight))
	c.report(s, "slots", declaration.CheckRange(s.Slots, 1, MaxSlots))
	c.report(s, "max_connections", declaration.CheckRange(s.MaxConnections, 1, MaxMaxConnections))
	c.report(s, "cold_rate", declaration.CheckRange(s.ColdRate, MinColdRate, MaxColdRate))
	c.report(s, "warmup_time", declaration.CheckRange(s.WarmupTime, MinWarmupTime, MaxWarmupTime))
}

func (c *checker) checkRule(r Rule) {
	if _, ok := c.services[r.Service]; !ok {
		c.reportUndeclared(r, "service", ObjectService, string(r.Service))
	}
	if len(r.DataCentres) == 0 {
		c.reportf(r, "data_centres", "is missing")
	}
	for i, centre := range r.DataCentres {
		if _, ok := c.centres[centre]; !ok {
			c.reportUndeclared(r, "data_centres", ObjectDataCentre, string(centre))
		}
		if slices.Contains(r.DataCentres[:i], centre) {
			c.reportf(r, "data_centres", "lists %q twice", centre)
		}
	}
	switch r.Kind {
	case RuleMaxShare:
		c.report(r, "max_share", declaration.CheckRange(r.MaxShare, MinMaxShare, 1))
	case RuleOnly, RuleExclude:
		if r.MaxShare != 0 {
			c.reportf(r, "max_share", "is valid only for rules of kind %q", RuleMaxShare)
		}
	default:
		c.reportf(r, "kind", "%q is not one of %q, %q and %q", r.Kind, RuleOnly, RuleExclude, RuleMaxShare)
	}
}

// reportUndeclared reports a reference to an object that is not declared.
func (c *checker) reportUndeclared(object declaredObject, key string, kind ObjectKind, name string) {
	if name == "" {
		c.reportf(object, key, "is missing")
		return
	}
	c.reportf(object, key, "%s %q is not declared", kind, name)
}

func (c *checker) checkAddress(object declaredObject, key string, address netip.AddrPort) {
	c.report(object, key, declaration.CheckAddress(address))
	if address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		c.reportf(object, key, "%s is an unspecified or multicast address", address)
	}
}

func joinNames[T ~string](names []T) string {
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = string(name)
	}
	return strings.Join(texts, ", ")
}

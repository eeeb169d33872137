package config

import (
	"fmt"

	"github.com/rattanthread/rattanthread/declaration"
	"github.com/rattanthread/rattanthread/fleet"
)

// checker collects the problems of one normalised set.
type checker struct {
	set      Set
	problems Problems

	centres  map[fleet.DataCentreID]DataCentre
	services map[fleet.ServiceName]Service
}

func (c *checker) run() {
	c.centres = byKey(c.set.DataCentres, DataCentre.key)
	c.services = byKey(c.set.Services, Service.key)
	if len(c.set.DataCentres) == 0 {
		c.problems = append(c.problems, Problem{Reason: "no data_centre is declared"})
	}
	c.checkNames()
	for _, centre := range c.set.DataCentres {
		c.checkDataCentre(centre)
	}
	for _, service := range c.set.Services {
		c.checkService(service)
	}
	for _, server := range c.set.Servers {
		c.checkServer(server)
	}
	for _, rule := range c.set.Rules {
		c.checkRule(rule)
	}
	c.checkAddresses()
	c.checkConflicts()
	c.checkCapacity()
}

func (c *checker) reportf(object declaredObject, key, format string, args ...any) {
	origin := object.declaredAt()
	if origin == nil {
		origin = &declaration.Origin{}
	}
	reason := fmt.Sprintf(format, args...)
	c.problems = append(c.problems, origin.Problem(object.object().String(), key, reason))
}

// declaredObject is any object of a set.
type declaredObject interface {
	object() Object
	declaredAt() *declaration.Origin
}

func (d DataCentre) object() Object { return Object{ObjectDataCentre, string(d.Name)} }

func (s Service) object() Object { return Object{ObjectService, string(s.Name)} }

func (s Server) object() Object { return Object{ObjectServer, string(s.Name)} }

func (r Rule) object() Object { return Object{ObjectRule, string(r.Name)} }

func (d DataCentre) declaredAt() *declaration.Origin { return d.origin }

func (s Service) declaredAt() *declaration.Origin { return s.origin }

func (s Server) declaredAt() *declaration.Origin { return s.origin }

func (r Rule) declaredAt() *declaration.Origin { return r.origin }

// location returns the name and position of an object, for a message about
// another object.
func location(object declaredObject) string {
	if origin := object.declaredAt(); origin != nil {
		return fmt.Sprintf("%s (%s:%d)", object.object(), origin.File, origin.Line)
	}
	return object.object().String()
}

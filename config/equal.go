package config

import (
	"slices"

	"github.com/rattanthread/rattanthread/fleet"
)

func (d DataCentre) key() fleet.DataCentreID { return d.Name }

func (s Service) key() fleet.ServiceName { return s.Name }

func (s Server) key() fleet.ServerID { return s.Name }

func (r Rule) key() RuleName { return r.Name }

func (d DataCentre) equal(other DataCentre) bool {
	sameTimes := d.Since.Equal(other.Since) && d.PreviousChange.Equal(other.PreviousChange) && d.EarlierChange.Equal(other.EarlierChange)
	d.Since, d.PreviousChange, d.EarlierChange = other.Since, other.PreviousChange, other.EarlierChange
	d.origin = other.origin
	return sameTimes && d == other
}

func (s Service) equal(other Service) bool {
	s.origin = other.origin
	return s == other
}

func (s Server) equal(other Server) bool {
	s.origin = other.origin
	return s == other
}

func (r Rule) equal(other Rule) bool {
	return r.Name == other.Name &&
		r.Service == other.Service &&
		r.Kind == other.Kind &&
		r.MaxShare == other.MaxShare &&
		slices.Equal(r.DataCentres, other.DataCentres)
}

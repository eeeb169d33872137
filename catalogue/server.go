package catalogue

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/fleet"
)

// Cookie identifies a backend server in the packets of a flow. Both ends of a flow
// return the last cookie that they received. Zero means none.
type Cookie uint32

// CookieOf returns the cookie of a server. It depends on the server's id alone, so that
// every host, including one that has just started, finds the same server.
func CookieOf(id fleet.ServerID) Cookie {
	sum := Cookie(xxhash.Sum64String(string(id)))
	if sum == 0 {
		return 1
	}
	return sum
}

// MaskFor masks a server's cookie for the flows of one route, and unmasks a masked one.
// A flow gets its cookie when it is placed, so a cookie that unmasks to a server shows
// that some configuration has sent the route's flows there, even to a host that has
// never read that configuration. For another route it unmasks to no server.
func (c Cookie) MaskFor(route netip.AddrPort) Cookie {
	address := route.Addr().As4()
	data := [6]byte{address[0], address[1], address[2], address[3], byte(route.Port() >> 8), byte(route.Port())}
	return c ^ Cookie(xxhash.Sum64(data[:]))
}

// Server is a registered backend server. It is immutable once it is part of a
// Catalogue.
type Server struct {
	_ struct{} `cbor:",toarray"`

	ID         fleet.ServerID     `cbor:"id"`
	Service    fleet.ServiceName  `cbor:"service"`
	Address    netip.AddrPort     `cbor:"address"`
	DataCentre fleet.DataCentreID `cbor:"data_centre"`
	// Tag identifies the server in the datagrams sent to it.
	Tag uint64 `cbor:"tag"`
	// Slots is the number of requests that the server processes concurrently.
	Slots int `cbor:"slots"`
	// Draining means that the server finishes its flows and gets no new ones.
	Draining bool `cbor:"draining,omitempty"`
	// WarmupRemaining is how much longer the server can take only reduced load, counted
	// from when this record was received.
	WarmupRemaining time.Duration `cbor:"cold,omitempty"`
	// Started distinguishes two starts of a server under one id.
	Started int64 `cbor:"started"`
	// Created and Changed are the store's versions in which the record was created and
	// last changed.
	Created Version `cbor:"created"`
	Changed Version `cbor:"changed"`

	// WarmAt is when the server can take full load.
	WarmAt time.Time `cbor:"-"`
	// Cookie identifies the server in packets. It is zero if an older server has the
	// same cookie, in which case this one gets no flows.
	Cookie Cookie `cbor:"-"`
}

// SameStart reports whether another record of the server is of the same start at the same address.
// What is known of an earlier start does not apply to a later one.
func (s *Server) SameStart(other *Server) bool {
	return s.Started == other.Started && s.Address == other.Address
}

// IsCold reports whether the server can still take only reduced load.
func (s *Server) IsCold(now time.Time) bool { return now.Before(s.WarmAt) }

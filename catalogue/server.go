package catalogue

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/fleet"
)

// Cookie stands for a backend server in the packets of a flow. Both ends of a
// flow return the last cookie that they received. Zero means none.
type Cookie uint32

// CookieOf returns the cookie of a server. It depends on the server's id alone,
// so that every host, also one that has just started, finds the same server.
func CookieOf(id fleet.ServerID) Cookie {
	sum := Cookie(xxhash.Sum64String(string(id)))
	if sum == 0 {
		return 1
	}
	return sum
}

// On seals a server's cookie for the flows of one route, and opens a sealed one.
// A flow gets its cookie when it is placed, so a cookie that opens to a server
// shows that some configuration has sent the route's flows there, also to a host
// that has never seen that configuration. On another route it opens to nothing.
func (c Cookie) On(route netip.AddrPort) Cookie {
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
	// Tag is the number by which a datagram names the server it is meant for.
	Tag uint64 `cbor:"tag"`
	// Slots is how many requests the server works on at once.
	Slots int `cbor:"slots"`
	// Draining servers finish their flows and get no new ones.
	Draining bool `cbor:"draining,omitempty"`
	// Cold is how much longer the server bears little load, counted from the
	// moment at which this record was received.
	Cold time.Duration `cbor:"cold,omitempty"`
	// Started tells two starts under one id apart.
	Started int64 `cbor:"started"`
	// Created and Changed are the store's revisions of the record: its first and
	// its last.
	Created Version `cbor:"created"`
	Changed Version `cbor:"changed"`

	// WarmAt is when the server can bear full load.
	WarmAt time.Time `cbor:"-"`
	// Cookie names the server in packets. Zero if an older server has the same
	// cookie, in which case this one gets no flow.
	Cookie Cookie `cbor:"-"`
}

// IsCold reports whether the server still bears little load.
func (s *Server) IsCold(now time.Time) bool { return now.Before(s.WarmAt) }

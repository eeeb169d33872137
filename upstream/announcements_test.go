package upstream_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/upstream"
)

func TestIntroductions(t *testing.T) {
	is := is.New(t)
	first, second := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	var announcements upstream.Announcements
	is.Equal(len(announcements.Addresses(start)), 0)
	announcements.Add(start, first)
	announcements.Add(start.Add(time.Second), second)
	is.Equal(announcements.Addresses(start.Add(time.Second)), []netip.AddrPort{second, first})
	announcements.Add(start.Add(2*time.Second), first)
	is.Equal(announcements.Addresses(start.Add(2*time.Second)), []netip.AddrPort{first, second})
	is.Equal(announcements.Addresses(start.Add(4500*time.Millisecond)), []netip.AddrPort{first}) // the other announcement has expired
}

func TestIntroductionsAreBounded(t *testing.T) {
	is := is.New(t)
	var announcements upstream.Announcements
	for n := range 100 {
		announcements.Add(start, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 1))
	}
	addresses := announcements.Addresses(start)
	is.Equal(len(addresses), 16)
	is.Equal(addresses[0], netip.MustParseAddrPort("10.0.0.99:1"))
}

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
	var i upstream.Introductions
	is.Equal(len(i.Known(start)), 0)
	i.Heard(start, first)
	i.Heard(start.Add(time.Second), second)
	is.Equal(i.Known(start.Add(time.Second)), []netip.AddrPort{second, first})
	i.Heard(start.Add(2*time.Second), first)
	is.Equal(i.Known(start.Add(2*time.Second)), []netip.AddrPort{first, second})
	is.Equal(i.Known(start.Add(4500*time.Millisecond)), []netip.AddrPort{first}) // the other may have died
}

func TestIntroductionsAreBounded(t *testing.T) {
	is := is.New(t)
	var i upstream.Introductions
	for n := range 100 {
		i.Heard(start, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 1))
	}
	known := i.Known(start)
	is.Equal(len(known), 16)
	is.Equal(known[0], netip.MustParseAddrPort("10.0.0.99:1"))
}

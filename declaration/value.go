package declaration

import (
	"cmp"
	"fmt"
	"net/netip"
	"regexp"
)

// MaxNameBytes is the length of the longest name.
const MaxNameBytes = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// NameFault returns what is wrong with a name, or "".
func NameFault(name string) string {
	switch {
	case name == "":
		return "is missing"
	case len(name) > MaxNameBytes:
		return fmt.Sprintf("has %d characters, more than %d", len(name), MaxNameBytes)
	case !namePattern.MatchString(name):
		return fmt.Sprintf("%q is not a name: use a-z, 0-9, '-' and '.', with a letter or digit at both ends", name)
	default:
		return ""
	}
}

// AddressFault returns what is wrong with the address of a listener, or "".
// Only IPv4 is supported.
func AddressFault(address netip.AddrPort) string {
	switch {
	case address == (netip.AddrPort{}):
		return "is missing"
	case !address.Addr().Is4():
		return fmt.Sprintf("%s is not an IPv4 address with a port", address)
	case address.Port() == 0:
		return fmt.Sprintf("%s has no port", address)
	default:
		return ""
	}
}

// RangeFault returns what is wrong with a value that must lie between low and
// high, or "". It refuses a number that is not one.
func RangeFault[T cmp.Ordered](value, low, high T) string {
	if value >= low && value <= high {
		return ""
	}
	return fmt.Sprintf("%v is not between %v and %v", value, low, high)
}

package declaration

import (
	"cmp"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"
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

// Keys returns the path of every key that files can set in a struct, such as
// "service.flow.idle_timeout", in the order of its fields.
func Keys(target any) []string {
	return keysOf(reflect.TypeOf(target), "")
}

func keysOf(t reflect.Type, prefix string) []string {
	var keys []string
	for i := range t.NumField() {
		key, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
		if key == "" || key == "-" {
			continue
		}
		inner := t.Field(i).Type
		if inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		if isTable(inner) {
			keys = append(keys, keysOf(inner, prefix+key+".")...)
			continue
		}
		keys = append(keys, prefix+key)
	}
	return keys
}

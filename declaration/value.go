package declaration

import (
	"cmp"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"
)

// MaxNameBytes is the maximum length of a name.
const MaxNameBytes = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// CheckName returns the reason why a name is invalid, or "" if it is valid.
func CheckName(name string) string {
	switch {
	case name == "":
		return "is missing"
	case len(name) > MaxNameBytes:
		return fmt.Sprintf("has %d characters, more than %d", len(name), MaxNameBytes)
	case !namePattern.MatchString(name):
		return fmt.Sprintf("%q is not a valid name: use a-z, 0-9, '-' and '.', with a letter or digit at both ends", name)
	default:
		return ""
	}
}

// CheckAddress returns the reason why the address of a listener is invalid, or ""
// if it is valid. Only IPv4 is supported.
func CheckAddress(address netip.AddrPort) string {
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

// CheckRange returns the reason why a value is invalid, or "" if it lies between
// low and high. NaN is invalid.
func CheckRange[T cmp.Ordered](value, low, high T) string {
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

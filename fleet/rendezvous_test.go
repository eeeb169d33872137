package fleet_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/fleet"
)

func ExampleRendezvous() {
	hosts := []fleet.HostID{"a1", "a2", "a3"}
	owner, successor := fleet.RendezvousPair("server/s1", hosts)
	fmt.Println(owner != successor, fleet.Rendezvous("server/s1", hosts) == owner)
	// Output: true true
}

func TestRendezvousMovesOnlyLostKeys(t *testing.T) {
	is := is.New(t)
	hosts := []fleet.HostID{"a1", "a2", "a3", "b1", "b2", "b3"}
	for i := range 1000 {
		key := fmt.Sprintf("key/%d", i)
		owner, successor := fleet.RendezvousPair(key, hosts)
		rest := without(hosts, owner)
		is.Equal(fleet.Rendezvous(key, rest), successor)
		for _, removed := range rest {
			is.Equal(fleet.Rendezvous(key, without(hosts, removed)), owner)
		}
	}
}

func without(hosts []fleet.HostID, removed fleet.HostID) []fleet.HostID {
	var rest []fleet.HostID
	for _, h := range hosts {
		if h != removed {
			rest = append(rest, h)
		}
	}
	return rest
}

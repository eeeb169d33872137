package soak

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"regexp"
	"time"

	"github.com/rattanthread/rattanthread/platformstandin"
)

// slowTargets makes targets slower, one share after the other. It has its own random numbers, so
// that a seed injects the same other faults as before.
func (s *Soak) slowTargets(site *platformstandin.Site) {
	random := rand.New(rand.NewPCG(s.Seed, 9))
	for {
		time.Sleep(time.Second + time.Duration(random.Int64N(int64(s.Length/4))))
		if time.Since(s.startedAt) > s.Length*3/4 {
			return
		}
		number, duration := random.IntN(1<<16), time.Duration(1000+random.IntN(4000))*time.Millisecond
		s.recordFault("slow_targets %d %v", number, duration)
		site.SlowTargets(number, duration)
	}
}

// refusalPattern matches the log line of a flow that was refused for lack of capacity.
var refusalPattern = regexp.MustCompile(`no_room: flow=([0-9.]+:\d+)-([0-9.]+:\d+) `)

// checkRefusals checks the refusals in the logs of the hosts.
func (s *Soak) checkRefusals(site *platformstandin.Site) {
	for _, m := range s.machines {
		log, err := os.ReadFile(m.log.Name())
		if err != nil {
			site.ReportViolation(fmt.Sprintf("REFUSAL: the log of %s can't be read: %v", m.node.Name, err))
			continue
		}
		for _, refusal := range refusalPattern.FindAllSubmatch(log, -1) {
			client, err := netip.ParseAddrPort(string(refusal[1]))
			route, routeErr := netip.ParseAddrPort(string(refusal[2]))
			if err != nil || routeErr != nil {
				site.ReportViolation(fmt.Sprintf("REFUSAL: %s logged %q", m.node.Name, refusal[0]))
				continue
			}
			site.CheckRefusal(client, route)
		}
	}
}

package main

import (
	"fmt"
	"net/netip"
	"os"
	"sync"
	"time"
)

// drainBound and configBound are the bounds of the rules DRAIN and CONFIG.
const (
	drainBound  = 3 * time.Second
	configBound = 3 * time.Second
)

// silentChannels silences the open channels to the store. Eight seconds later, one machine is cut off from the store, and a
// target reports that it drains. The other machine of the zone, which is in touch, must stop to use it in time.
// SILENCE=0 leaves out the silence, but not the cut.
func silentChannels(w *world, trouble bool) (int, error) {
	const service = "benchline"
	lag := 1500 * time.Millisecond
	for _, zone := range []string{"a", "a", "b"} {
		if _, err := w.addHost(zone, lag); err != nil {
			return 0, err
		}
	}
	for _, zone := range []string{"a", "a", "a", "b", "b"} {
		if _, err := w.startTarget(service, zone, 20*time.Millisecond); err != nil {
			return 0, err
		}
	}
	kept := w.addRoute(1, service)
	for n := range 3 {
		w.addRoute(2+n, service)
	}
	w.publish(service)
	if err := w.startHosts(); err != nil {
		return 0, err
	}
	client, err := w.startRequester("a")
	if err != nil {
		return 0, err
	}
	drains, configs := 0, 0
	for trial := range 3 {
		time.Sleep(13 * time.Second)
		reader, follower := w.hosts[0], w.hosts[1]
		_, at := reader.door.lastRead()
		if _, other := follower.door.lastRead(); other.After(at) {
			reader, follower = follower, reader
		}
		w.record.printf("trial %d: %s reads the store for its zone, %s follows it", trial, reader.name, follower.name)
		if trouble && os.Getenv("SILENCE") != "0" {
			w.record.printf("the open channels of all machines to the store go silent")
			for _, h := range w.hosts {
				h.door.link.silence()
			}
		}
		time.Sleep(8 * time.Second)
		read := make(chan struct{}, 1)
		reader.door.notify(func() {
			select {
			case read <- struct{}{}:
			default:
			}
		})
		<-read
		reader.door.notify(nil)
		time.Sleep(180 * time.Millisecond)
		if trouble {
			w.record.printf("%s is cut off from the store", reader.name)
			reader.door.link.cut()
		}
		leaving := w.targets[trial]
		drained := leaving.drain()
		w.record.printf("the store confirms that %s is draining", leaving.id)
		dropped := w.routes[1]
		w.routes = append(w.routes[:1:1], w.routes[2:]...)
		changed := w.publish(service)
		gone := netip.AddrPortFrom(netip.MustParseAddr(dropped["host"].(string)), kept.Port())
		var flows sync.WaitGroup
		var mu sync.Mutex
		for n := 0; time.Since(drained) < 4500*time.Millisecond; n++ {
			to := kept
			if n%4 == 3 {
				to = gone
			}
			flows.Go(func() {
				id := fmt.Sprintf("q-%d-%d", trial, n)
				sent := time.Now()
				f, res := client.dial(to)
				defer f.close()
				if res == answered {
					res = f.request(id, time.Second)
				}
				o, taken := w.opening(f)
				if !taken || len(f.via) == 0 || o.sender != follower.addr {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				if late := o.at.Sub(drained); o.target == leaving {
					w.record.printf("%s to %s through %s reached %s %.3f s after the confirmation that it drains: %s", id, to, follower.name, leaving.id, late.Seconds(), res)
					if late > drainBound && sent.After(drained.Add(drainBound)) {
						drains++
						w.record.printf("DRAIN: %s, sent %.3f s after the confirmation", id, sent.Sub(drained).Seconds())
					}
				}
				if late := sent.Sub(changed); to == gone && w.runner(id) != nil {
					w.record.printf("%s on the dropped route %s through %s, sent %.3f s after the confirmation: %s", id, to, follower.name, late.Seconds(), res)
					if late > configBound {
						configs++
						w.record.printf("CONFIG: %s ran with a dropped route", id)
					}
				}
			})
			time.Sleep(8 * time.Millisecond)
		}
		flows.Wait()
		if trouble {
			reader.door.link.heal()
			w.record.printf("the cut is over")
		}
		leaving.end()
		if _, err := w.startTarget(service, "a", 20*time.Millisecond); err != nil {
			return 0, err
		}
	}
	w.record.printf("DRAIN broken by %d requests, CONFIG by %d", drains, configs)
	return drains, nil
}

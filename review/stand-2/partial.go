package main

import (
	"fmt"
	"sync"
	"time"
)

// partialEntry lets another writer replace the entry of a draining target by one without version, remaining
// warm-up and seq.
// The target writes its own again with its next check-in.
func partialEntry(w *world, trouble bool) (int, error) {
	const service = "benchline"
	for _, zone := range []string{"a", "a", "b"} {
		if _, err := w.addHost(zone, 0); err != nil {
			return 0, err
		}
	}
	for _, zone := range []string{"a", "a", "a", "b", "b"} {
		if _, err := w.startTarget(service, zone, 20*time.Millisecond); err != nil {
			return 0, err
		}
	}
	route := w.addRoute(1, service)
	w.publish(service)
	if err := w.startHosts(); err != nil {
		return 0, err
	}
	client, err := w.startRequester("a")
	if err != nil {
		return 0, err
	}
	violations := 0
	for trial := range 3 {
		time.Sleep(6 * time.Second)
		leaving := w.targets[trial]
		drained := leaving.drain()
		w.record.printf("the store confirms that %s is draining", leaving.id)
		var flows sync.WaitGroup
		var mu sync.Mutex
		flows.Go(func() {
			time.Sleep(5 * time.Second)
			if trouble {
				w.store.put("servers", leaving.id, map[string]any{
					"service": service, "address": leaving.address.String(), "zone": leaving.zone, "slots": slots, "state": "ready",
				})
				w.record.printf("another writer puts an entry of %s that has no version, %s and seq", leaving.id, wire["cold_remaining"])
			}
		})
		for n := 0; time.Since(drained) < 8*time.Second; n++ {
			flows.Go(func() {
				id := fmt.Sprintf("q-%d-%d", trial, n)
				sent := time.Now()
				f, res := client.dial(route)
				defer f.close()
				if res == answered {
					res = f.request(id, time.Second)
				}
				o, taken := w.opening(f)
				if !taken || o.target != leaving {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				if late := o.at.Sub(drained); late > drainBound && sent.After(drained.Add(drainBound)) {
					violations++
					w.record.printf("DRAIN: %s through %s reached %s %.3f s after the confirmation that it drains: %s", id, o.sender, leaving.id, late.Seconds(), res)
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		flows.Wait()
		leaving.end()
		if _, err := w.startTarget(service, "a", 20*time.Millisecond); err != nil {
			return 0, err
		}
	}
	return violations, nil
}

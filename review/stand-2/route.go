package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// newRoute adds routes while the machine of a zone is stopped and started as planned. Its flows move to machines of
// the other zones, whose reads with serializable = 1 are up to two seconds old.
func newRoute(w *world, trouble bool) (int, error) {
	const service = "benchline"
	for _, zone := range []string{"a", "b", "c"} {
		lag := 2 * time.Second
		if zone == "c" {
			lag = 0
		}
		if _, err := w.addHost(zone, lag); err != nil {
			return 0, err
		}
		for range 3 {
			if _, err := w.startTarget(service, zone, 120*time.Millisecond); err != nil {
				return 0, err
			}
		}
	}
	first := w.addRoute(1, service)
	w.publish(service)
	if err := w.startHosts(); err != nil {
		return 0, err
	}
	client, err := w.startRequester("c")
	if err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second)
	var violations, failed, done atomic.Int64
	stopped := w.hosts[2]
	for trial := range 6 {
		if err := w.awaitReady(); err != nil {
			return 0, err
		}
		var flows sync.WaitGroup
		exited := stopped.exited
		if trouble {
			w.record.printf("SIGTERM to %s", stopped.name)
			_ = stopped.process.Process.Signal(syscall.SIGTERM)
		}
		time.Sleep(time.Duration(100+rand.IntN(700)) * time.Millisecond)
		route := w.addRoute(2+trial, service)
		w.publish(service)
		for n := range 24 {
			to := route
			if n%4 == 3 {
				to = first
			}
			flows.Go(func() {
				name := fmt.Sprintf("q-%d-%d", trial, n)
				f, res := client.dial(to)
				defer f.close()
				if res != answered {
					w.record.printf("%s to %s: %s", name, to, res)
					return
				}
				for i := range 14 {
					id := fmt.Sprintf("%s-%d", name, i)
					res := f.request(id, time.Second)
					t := w.runner(id)
					if res != answered {
						failed.Add(1)
						o, _ := w.opening(f)
						w.record.printf("%s to %s, opened through %s, last packet through %s: %s; it ran: %t", id, to, o.sender, f.last.address(), res, t != nil)
						if res == systemReset && o.target != nil && o.target.holds(f.from, f.to) {
							violations.Add(1)
							w.record.printf("FLOW: flow %s-%s is open at %s, which lives; a reset that it did not send reached the requester", f.from, to, o.target.id)
						}
						return
					}
					done.Add(1)
					time.Sleep(60 * time.Millisecond)
				}
			})
			time.Sleep(25 * time.Millisecond)
		}
		flows.Wait()
		if trouble {
			<-exited
			if err := stopped.launch(); err != nil {
				return 0, err
			}
		}
		time.Sleep(5 * time.Second)
	}
	w.record.printf("requests answered: %d, failed: %d, flows reset while open: %d", done.Load(), failed.Load(), violations.Load())
	return int(violations.Load()), nil
}

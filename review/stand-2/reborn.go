package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// rebornTargets restarts the targets of a small service as planned, under their ids, while the machine of a zone is
// stopped and started as planned. The flows of that zone move to machines of the other zones, whose reads with
// serializable = 1 are up to two seconds old.
func rebornTargets(w *world, trouble bool) (int, error) {
	const service, other = "sheetpress", "benchline"
	for _, zone := range []string{"a", "b", "c"} {
		lag := 2 * time.Second
		if zone == "c" {
			lag = 0
		}
		if _, err := w.addHost(zone, lag); err != nil {
			return 0, err
		}
		if _, err := w.startTarget(other, zone, 20*time.Millisecond); err != nil {
			return 0, err
		}
	}
	var targets []*target
	for _, zone := range []string{"a", "c"} {
		t, err := w.startTarget(service, zone, 120*time.Millisecond)
		if err != nil {
			return 0, err
		}
		targets = append(targets, t)
	}
	route := w.addRoute(1, service)
	w.addRoute(2, other)
	w.publish(service, other)
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
		for _, t := range targets {
			t.drain()
		}
		w.record.printf("the targets of %s drain", service)
		time.Sleep(3300 * time.Millisecond)
		for _, t := range targets {
			t.end()
		}
		w.record.printf("the targets of %s have left", service)
		time.Sleep(4 * time.Second)
		exited := stopped.exited
		if trouble {
			w.record.printf("SIGTERM to %s", stopped.name)
			_ = stopped.process.Process.Signal(syscall.SIGTERM)
		}
		time.Sleep(time.Duration(250+rand.IntN(200)) * time.Millisecond)
		for i, t := range targets {
			again, err := t.startAgain()
			if err != nil {
				return 0, err
			}
			targets[i] = again
		}
		w.record.printf("the targets of %s have started again under their ids", service)
		var flows sync.WaitGroup
		for n := range 16 {
			flows.Go(func() {
				name := fmt.Sprintf("q-%d-%d", trial, n)
				f, res := client.dial(route)
				defer f.close()
				if res != answered {
					w.record.printf("%s: %s", name, res)
					return
				}
				for i := range 14 {
					id := fmt.Sprintf("%s-%d", name, i)
					res := f.request(id, time.Second)
					if res != answered {
						failed.Add(1)
						o, _ := w.opening(f)
						w.record.printf("%s, opened through %s, last packet through %s: %s; it ran: %t", id, o.sender, f.last.address(), res, w.runner(id) != nil)
						if res == systemReset && o.target != nil && o.target.holds(f.from, f.to) {
							violations.Add(1)
							w.record.printf("FLOW: flow %s-%s is open at %s, which lives; a reset that it did not send reached the requester", f.from, f.to, o.target.id)
						}
						return
					}
					done.Add(1)
					time.Sleep(60 * time.Millisecond)
				}
			})
			time.Sleep(35 * time.Millisecond)
		}
		flows.Wait()
		if trouble {
			<-exited
			if err := stopped.launch(); err != nil {
				return 0, err
			}
		}
		time.Sleep(4 * time.Second)
	}
	w.record.printf("requests answered: %d, failed: %d, flows reset while open: %d", done.Load(), failed.Load(), violations.Load())
	return int(violations.Load()), nil
}

// Command cold shows what entry hosts do with a target that crashed and started again, under
// its id and cold, while the store is down.
//
// It exits with 1 if the target got more opening packets in a second than a cold target bears,
// 0 if not, and 2 if the case couldn't run.
package main

import (
	"errors"
	"flag"
	"os"
	"sync"
	"time"

	"github.com/rattanthread/rattanthread/review/stand"
)

const (
	targets    = 4
	requesters = 12
	// pause is the time between two requests of a requester, each on a flow of its own.
	pause         = 100 * time.Millisecond
	coldPerSecond = 4.0
	outage        = 4500 * time.Millisecond
	downTime      = time.Second
)

func main() {
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	crash := flag.Bool("crash", true, "crash a target and start it again")
	down := flag.Bool("down", true, "take the store down meanwhile")
	flag.Parse()
	w, err := stand.New(*record)
	if err != nil {
		os.Exit(2)
	}
	broken, err := run(w, *crash, *down)
	if err != nil {
		w.Logf("the case couldn't run: %v", err)
	}
	w.Close()
	switch {
	case err != nil:
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

func run(w *stand.World, crash, down bool) (bool, error) {
	w.ColdPerSecond = coldPerSecond
	w.Configure(stand.Route)
	var all []*stand.Target
	for i := range targets {
		t, err := w.StartTarget(i + 1)
		if err != nil {
			return false, err
		}
		all = append(all, t)
	}
	for i := range 2 {
		host, err := w.StartHost(i+1, "")
		if err != nil {
			return false, err
		}
		if !stand.Await(15*time.Second, host.InRotation) {
			return false, errors.New("a host is not ready")
		}
	}
	time.Sleep(stand.StableWindow)
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range requesters {
		requester, err := w.NewRequester(10 + i)
		if err != nil {
			return false, err
		}
		group.Go(func() { openFlows(requester, stop) })
	}
	time.Sleep(2 * time.Second)
	if len(all[0].Openings()) == 0 {
		return false, errors.New("the target got no flow")
	}
	err := disrupt(w, all[0], crash, down)
	close(stop)
	group.Wait()
	return crash && exceeds(w, all[0]), err
}

// disrupt lets the target crash and start again, cold, while the store is down.
func disrupt(w *stand.World, target *stand.Target, crash, down bool) error {
	if down {
		w.SetDown(true)
		defer w.SetDown(false)
	}
	end := time.After(outage)
	time.Sleep(time.Second)
	if crash {
		target.Crash()
		time.Sleep(downTime)
		if err := target.StartCold(1); err != nil {
			return err
		}
	}
	<-end
	return nil
}

// openFlows opens flows, with a request on each.
func openFlows(requester *stand.Requester, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		if requester.OpenFlow() {
			_, _ = requester.Request(600 * time.Millisecond)
		}
	}
}

// exceeds reports whether the target got more opening packets in one second, while it was cold,
// than it bears.
func exceeds(w *stand.World, target *stand.Target) bool {
	const bound = coldPerSecond*stand.ColdOver + stand.ColdSlack
	openings := target.OpeningsWhileCold()
	most := 0
	for i, first := range openings {
		count := 0
		for _, at := range openings[i:] {
			if at.Sub(first) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	w.Logf("target %s: %d opening packets while it was cold, at most %d in one second; the bound is %.0f", target.ID, len(openings), most, float64(bound))
	return most > bound
}

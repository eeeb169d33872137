// Command gone shows how long entry hosts send new flows to a target whose entry the store has
// removed, after a host was added that ranks before the one that reads the store.
//
// It exits with 1 if the target got a new flow later than the bound, 0 if not, and 2 if the
// case couldn't run.
package main

import (
	"cmp"
	"errors"
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/review/stand"
)

const (
	targets    = 8
	requesters = 24
	// pause is the time between two requests of a requester, each on a flow of its own.
	pause = 100 * time.Millisecond
	// rounds is how many targets lose their entries at most, one after the other, until one gets a
	// new flow too late.
	rounds = 7
	// maxPause is the longest pause between two rounds, about the period of the hosts' reads.
	maxPause = 2800 * time.Millisecond
)

func main() {
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "cut targets off from the store")
	added := flag.Bool("added", true, "add the second host later")
	flag.Parse()
	w, err := stand.New(*record)
	if err != nil {
		os.Exit(2)
	}
	late, err := run(w, *trouble, *added)
	if err != nil {
		w.Logf("the case couldn't run: %v", err)
	}
	w.Close()
	switch {
	case err != nil:
		os.Exit(2)
	case late > 0:
		os.Exit(1)
	}
}

func run(w *stand.World, trouble, added bool) (int, error) {
	var all []*stand.Target
	for i := range targets {
		t, err := w.StartTarget(i + 1)
		if err != nil {
			return 0, err
		}
		all = append(all, t)
	}
	if err := startHosts(w, added); err != nil {
		return 0, err
	}
	time.Sleep(2 * stand.StableWindow)
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range requesters {
		requester, err := w.NewRequester(10 + i)
		if err != nil {
			return 0, err
		}
		group.Go(func() { openFlows(requester, stop) })
	}
	time.Sleep(2 * time.Second)
	late := 0
	for _, target := range all[:rounds] {
		if len(target.Openings()) == 0 {
			return 0, errors.New("a target got no flow")
		}
		if trouble {
			removed := target.CutFromStore()
			time.Sleep(stand.DrainBound + 2500*time.Millisecond)
			late += countLate(w, target, removed)
		} else {
			time.Sleep(stand.DrainBound)
		}
		if late > 0 {
			break
		}
		time.Sleep(rand.N(maxPause))
	}
	close(stop)
	group.Wait()
	return late, nil
}

// startHosts starts a host, and later another one that ranks before it.
func startHosts(w *stand.World, added bool) error {
	numbers := []int{1, 2, 3}
	slices.SortFunc(numbers, func(a, b int) int {
		return cmp.Compare(xxhash.Sum64String(stand.HostName(b)), xxhash.Sum64String(stand.HostName(a)))
	})
	for _, number := range numbers[:2] {
		host, err := w.StartHost(number, "")
		if err != nil {
			return err
		}
		if added && !stand.Await(15*time.Second, host.InRotation) {
			return errors.New("a host is not ready")
		}
		if added {
			time.Sleep(stand.StableWindow)
		}
	}
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

// countLate counts the opening packets that a target took later than the bound.
func countLate(w *stand.World, target *stand.Target, removed time.Time) int {
	late, last := 0, time.Duration(0)
	for _, at := range target.Openings() {
		since := at.Sub(removed)
		last = max(last, since)
		if since > stand.DrainBound {
			late++
			w.Logf("DRAIN: target %s took an opening packet %v after the store removed its entry", target.ID, since.Round(time.Millisecond))
		}
	}
	w.Logf("target %s: %d opening packets later than %v after the store removed its entry, the last %v after", target.ID, late, stand.DrainBound, last.Round(time.Millisecond))
	return late
}

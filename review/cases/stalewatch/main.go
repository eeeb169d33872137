// Command stalewatch shows what entry hosts do with a store whose reads with serializable=1
// return data that is seconds old.
//
// It exits with 1 if a target that drains got a new flow later than the bound, 0 if none did,
// and 2 if the case couldn't run.
package main

import (
	"errors"
	"flag"
	"os"
	"sync"
	"time"

	"github.com/rattanthread/rattanthread/platformstandin"
	"github.com/rattanthread/rattanthread/review/stand"
)

const (
	targets = 4
	// readLag is the age of the data that reads with serializable=1 return.
	readLag    = 5 * time.Second
	requesters = 8
)

func main() {
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "let serializable reads return data that is seconds old")
	flag.Parse()
	w, err := stand.New(*record)
	if err != nil {
		os.Exit(2)
	}
	late, err := run(w, *trouble)
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

func run(w *stand.World, trouble bool) (int, error) {
	var all []*stand.Target
	for i := range targets {
		t, err := w.StartTarget(i + 1)
		if err != nil {
			return 0, err
		}
		all = append(all, t)
	}
	if trouble {
		w.Store.SetFaults(platformstandin.StoreFaults{ReadLag: readLag})
	}
	for i := range 2 {
		host, err := w.StartHost(i+1, "")
		if err != nil {
			return 0, err
		}
		if !stand.Await(20*time.Second, host.InRotation) {
			return 0, errors.New("a host is not ready")
		}
	}
	time.Sleep(stand.StableWindow + readLag)
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
	confirmed := all[0].Drain()
	time.Sleep(stand.DrainBound + 4*time.Second)
	close(stop)
	group.Wait()
	return countLate(w, all[0], confirmed)
}

// openFlows opens flows, with a request on each.
func openFlows(requester *stand.Requester, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if requester.OpenFlow() {
			_, _ = requester.Request(500 * time.Millisecond)
		}
	}
}

// countLate counts the opening packets that the target took later than the bound.
func countLate(w *stand.World, target *stand.Target, confirmed time.Time) (int, error) {
	before, late := 0, 0
	for _, at := range target.Openings() {
		since := at.Sub(confirmed)
		if since < 0 {
			before++
		}
		if since > stand.DrainBound {
			late++
			w.Logf("DRAIN: target %s took an opening packet %v after the store confirmed that it drains", target.ID, since.Round(time.Millisecond))
		}
	}
	w.Logf("target %s: %d opening packets before it drained, %d later than %v after", target.ID, before, late, stand.DrainBound)
	if before == 0 {
		return 0, errors.New("the target got no flow before it drained")
	}
	return late, nil
}

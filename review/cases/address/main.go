// Command address shows what an entry host does with the flows of a target that crashed and
// started again, under its id, at another address.
//
// It exits with 1 if an open flow was reset by a host, 0 if none was, and 2 if the case
// couldn't run.
package main

import (
	"errors"
	"flag"
	"os"
	"time"

	"github.com/rattanthread/rattanthread/review/stand"
)

const (
	targets    = 4
	newMachine = 11
	// downTime is shorter than three check-in intervals, so the entry stays in the store.
	downTime = 1200 * time.Millisecond
	// budget is a requester's time budget.
	budget     = 800 * time.Millisecond
	requesters = 96
)

func main() {
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "crash the target and start it again")
	machine := flag.Int("machine", newMachine, "the machine on which the target starts again; zero means the same")
	flag.Parse()
	w, err := stand.New(*record)
	if err != nil {
		os.Exit(2)
	}
	broken, err := run(w, *trouble, *machine)
	if err != nil {
		w.Logf("the case couldn't run: %v", err)
	}
	w.Close()
	switch {
	case err != nil:
		os.Exit(2)
	case broken > 0:
		os.Exit(1)
	}
}

func run(w *stand.World, trouble bool, machine int) (int, error) {
	var all []*stand.Target
	for i := range targets {
		t, err := w.StartTarget(i + 1)
		if err != nil {
			return 0, err
		}
		all = append(all, t)
	}
	first, err := w.StartHost(1, "")
	if err != nil {
		return 0, err
	}
	second, err := w.StartHost(2, "")
	if err != nil {
		return 0, err
	}
	if !stand.Await(15*time.Second, func() bool { return first.InRotation() && second.InRotation() }) {
		return 0, errors.New("the hosts are not ready")
	}
	time.Sleep(stand.StableWindow)
	target, err := useTarget(w, all, first, 1)
	if err != nil {
		return 0, err
	}
	if trouble {
		if err := restart(target, machine); err != nil {
			return 0, err
		}
	}
	time.Sleep(stand.StableWindow + 2*time.Second)
	flows, err := openFlows(w, target, second)
	if err != nil {
		return 0, err
	}
	second.Stop()
	return countResets(w, target, flows), nil
}

// useTarget lets one requester use a target through a host.
func useTarget(w *stand.World, all []*stand.Target, host *stand.Host, number int) (*stand.Target, error) {
	requester, err := w.NewRequester(number)
	if err != nil {
		return nil, err
	}
	for range 50 {
		if !requester.OpenFlow() || requester.Host() != host {
			continue
		}
		if answered, _ := requester.Request(budget); !answered {
			return nil, errors.New("a request on a quiet day isn't answered")
		}
		for _, t := range all {
			if t.HasOpen(requester.Flow()) {
				w.Logf("requester %d: has flow %s at target %s through %s", number, requester.Flow(), t.ID, host.Name)
				go keepUsing(w, requester)
				return t, nil
			}
		}
	}
	return nil, errors.New("no flow through the host")
}

// keepUsing sends a request now and then until one fails.
func keepUsing(w *stand.World, requester *stand.Requester) {
	for {
		time.Sleep(150 * time.Millisecond)
		answered, reset := requester.Request(budget)
		if !answered {
			w.Logf("flow %s: a request isn't answered, reset %v", requester.Flow(), reset)
			return
		}
	}
}

// restart crashes a target and starts it again under its id, on a machine or the same.
func restart(target *stand.Target, machine int) error {
	if machine == 0 {
		machine = int(target.Address().Addr().As4()[3])
	}
	target.Crash()
	time.Sleep(downTime)
	return target.Start(machine)
}

// openFlows opens flows at the target through a host, with a request on each.
func openFlows(w *stand.World, target *stand.Target, host *stand.Host) ([]*stand.Requester, error) {
	var flows []*stand.Requester
	for i := range requesters {
		requester, err := w.NewRequester(10 + i)
		if err != nil {
			return nil, err
		}
		if !requester.OpenFlow() || requester.Host() != host {
			continue
		}
		answered, _ := requester.Request(budget)
		if answered && target.HasOpen(requester.Flow()) {
			w.Logf("requester %d: flow %s is open at target %s through %s", 10+i, requester.Flow(), target.ID, host.Name)
			flows = append(flows, requester)
		}
	}
	if len(flows) == 0 {
		return nil, errors.New("no flow at the target")
	}
	return flows, nil
}

// countResets sends requests on the flows while the host that they went through stops. It
// returns the number of flows that someone other than their target reset.
func countResets(w *stand.World, target *stand.Target, flows []*stand.Requester) int {
	broken, answered := 0, 0
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, requester := range flows {
			if !requester.Open {
				continue
			}
			ok, reset := requester.Request(budget)
			if ok {
				answered++
			}
			if reset != nil && reset.From != target.Address().Addr() {
				w.Logf("FLOW: flow %s, open at target %s, was reset by %s", requester.Flow(), target.ID, reset.From)
				broken++
			}
		}
	}
	w.Logf("%d flows, %d requests answered, %d flows reset by a host", len(flows), answered, broken)
	return broken
}

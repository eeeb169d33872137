package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses.
const (
	held      = 0
	broken    = 1
	couldnRun = 2
)

// maxLength is how long a case may take.
const maxLength = 115 * time.Second

// cases are the cases by name. Each returns the violations of its rule.
var cases = map[string]func(w *world, trouble bool) (int, error){
	"silent":  silentChannels,
	"route":   newRoute,
	"reborn":  rebornTargets,
	"partial": partialEntry,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		return couldnRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldnRun
	}
	defer func() { _ = file.Close() }()
	r := &record{file: file, start: time.Now()}
	w, err := newWorld(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldnRun
	}
	defer w.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, disruption: %t", os.Args[1], trouble)
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-stop:
			r.printf("could not run: stopped from outside")
		case <-time.After(maxLength):
			r.printf("could not run: not done after %s", maxLength)
		}
		w.stop()
		os.Exit(couldnRun)
	}()
	violations, err := cases[os.Args[1]](w, trouble)
	if err != nil {
		r.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldnRun
	}
	r.printf("violations: %d", violations)
	fmt.Println("violations:", violations)
	if violations > 0 {
		return broken
	}
	return held
}

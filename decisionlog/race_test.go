//go:build race

package decisionlog_test

import "runtime"

// init works around a fault of the runtime: in a bubble of testing/synctest, timers that
// fire on two processors share one context of the race detector, which corrupts it.
func init() { runtime.GOMAXPROCS(1) }

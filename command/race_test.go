//go:build race

package command_test

import "runtime"

// In a bubble of testing/synctest, the runtime lets timers that fire on two
// processors share one context of the race detector, which corrupts it.
func init() { runtime.GOMAXPROCS(1) }

//go:build race

package registrystandin_test

import "runtime"

// In a testing/synctest bubble, the runtime lets timers that fire on two processors
// share one race detector context, which corrupts that context.
func init() { runtime.GOMAXPROCS(1) }

package entry

import (
	"time"

	"golang.org/x/sys/unix"
)

// now returns the time since the machine's start. Unlike the time of day it
// never jumps, and unlike the steady clock it counts the time that the machine
// was suspended, so that what is known is as old as it seems.
func now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now()
	}
	return time.Unix(t.Unix())
}

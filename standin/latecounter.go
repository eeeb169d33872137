package standin

import "time"

// lateCounter counts new work and packets that reach a server after the cutoff
// for them.
type lateCounter struct {
	newWorkCutoff time.Time // zero means none
	packetCutoff  time.Time // zero means none
	newWork       uint64
	packets       uint64
}

func (l *lateCounter) record(now time.Time, isNew bool) {
	if isNew && !l.newWorkCutoff.IsZero() && now.After(l.newWorkCutoff) {
		l.newWork++
	}
	if !l.packetCutoff.IsZero() && now.After(l.packetCutoff) {
		l.packets++
	}
}

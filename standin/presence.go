package standin

import "time"

// presence notes work that reaches a server after it should have ended.
type presence struct {
	noNewAfter  time.Time // zero: new work is welcome
	noneAfter   time.Time // zero: packets are welcome
	lateNewWork uint64
	latePackets uint64
}

func (p *presence) arrive(now time.Time, isNew bool) {
	if isNew && !p.noNewAfter.IsZero() && now.After(p.noNewAfter) {
		p.lateNewWork++
	}
	if !p.noneAfter.IsZero() && now.After(p.noneAfter) {
		p.latePackets++
	}
}

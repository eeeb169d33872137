package rollout

import "github.com/rattanthread/rattanthread/fleet"

// backlog keeps the last steps to the revision in force, each beginning where
// the one before it ends.
type backlog struct {
	steps []Step
	bytes int
}

// add appends a step and drops the oldest ones over the limits.
func (b *backlog) add(s Step, l Limits) {
	if n := len(b.steps); n > 0 && b.steps[n-1].To != s.From {
		*b = backlog{}
	}
	b.steps = append(b.steps, s)
	b.bytes += len(s.Delta)
	drop := 0
	for drop < len(b.steps) && (len(b.steps)-drop > l.BacklogSteps || b.bytes > l.BacklogBytes) {
		b.bytes -= len(b.steps[drop].Delta)
		drop++
	}
	b.steps = append([]Step(nil), b.steps[drop:]...)
}

// after returns the steps that lead on from a revision, or nil when the backlog
// does not reach back to it.
func (b *backlog) after(r fleet.Revision) []Step {
	for i, s := range b.steps {
		if s.From == r {
			return b.steps[i:]
		}
	}
	return nil
}

package rollout

import "github.com/rattanthread/rattanthread/fleet"

// backlog holds the latest steps up to the revision in force. Each step starts at
// the revision at which the previous one ends.
type backlog struct {
	steps []Step
	bytes int
}

// add appends a step and removes the oldest steps that exceed the limits. It first
// clears a backlog that does not end where the step starts.
func (b *backlog) add(step Step, limits Limits) {
	if n := len(b.steps); n > 0 && b.steps[n-1].To != step.From {
		*b = backlog{}
	}
	b.steps = append(b.steps, step)
	b.bytes += len(step.Delta)
	excess := 0
	for excess < len(b.steps) && (len(b.steps)-excess > limits.BacklogSteps || b.bytes > limits.BacklogBytes) {
		b.bytes -= len(b.steps[excess].Delta)
		excess++
	}
	b.steps = append([]Step(nil), b.steps[excess:]...)
}

// after returns the steps that follow a revision, or nil if the backlog does not
// reach back to it.
func (b *backlog) after(r fleet.Revision) []Step {
	for i, s := range b.steps {
		if s.From == r {
			return b.steps[i:]
		}
	}
	return nil
}

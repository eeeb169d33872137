package trial

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/standin"
)

// step is a change at a set part of the trial's duration. A step without a
// phase belongs to the phase before it.
type step struct {
	at    float64 // from 0 to 1
	phase Phase
	do    func(ctx context.Context) (target string, err error)
}

func (w *world) steps() []step {
	stopped := w.pickProcess(w.centres[0])
	killed := w.pickProcess(w.centres[len(w.centres)-1])
	return []step{
		{0, PhaseWarmUp, func(context.Context) (string, error) { return "", nil }},
		{0.27, PhasePlannedStop, func(context.Context) (string, error) { return w.plannedStop(stopped) }},
		{0.35, PhaseStart, func(ctx context.Context) (string, error) { return w.startAgain(ctx, stopped) }},
		{0.40, PhaseKill, func(context.Context) (string, error) {
			w.killProcess(killed)
			return string(killed.settings.Host), nil
		}},
		{0.47, "", func(ctx context.Context) (string, error) { return w.startAgain(ctx, killed) }},
		{0.50, PhaseDrain, w.drainServers},
		{0.55, PhaseCentreOut, w.takeOut},
		{0.85, PhaseCentreIn, w.bringBack},
	}
}

func (w *world) pickProcess(centre fleet.DataCentreID) *process {
	var found []*process
	for _, p := range w.processes {
		if p.settings.DataCentre == centre {
			found = append(found, p)
		}
	}
	return found[w.random.IntN(len(found))]
}

// runTimeline makes the changes of the trial, each at its time.
func (w *world) runTimeline(ctx context.Context) {
	w.fail(w.startGateway(ctx))
	sampling, stop := context.WithCancel(ctx)
	defer stop()
	w.group.Go(func() { w.sample(sampling) })
	start := time.Now()
	for _, s := range w.steps() {
		due := start.Add(time.Duration(s.at * float64(w.trial.duration())))
		if !sleepUntil(ctx, due) {
			w.fail(errors.New("interrupted"))
			return
		}
		w.take(ctx, s)
	}
	if sleepUntil(ctx, start.Add(w.trial.duration())) {
		w.beginPhase(PhaseEnd)
	}
}

func (w *world) take(ctx context.Context, s step) {
	if s.phase != "" {
		w.beginPhase(s.phase)
	}
	target, err := s.do(ctx)
	if err != nil {
		w.fail(errors.Wrapf(err, "phase %s", s.phase))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.phase != "" {
		w.evidence.Phases[len(w.evidence.Phases)-1].Target = target
	}
}

func (w *world) beginPhase(phase Phase) {
	now := time.Now()
	w.mu.Lock()
	w.evidence.Phases = append(w.evidence.Phases, NewPhaseRow(phase, w.began, now))
	w.mu.Unlock()
	w.markPhase(phase)
}

func (w *world) plannedStop(p *process) (string, error) {
	w.mu.Lock()
	w.evidence.StoppedRequest[p.settings.Listen.Request.String()] = true
	w.mu.Unlock()
	w.stopProcess(p)
	return string(p.settings.Host), nil
}

func (w *world) startAgain(ctx context.Context, p *process) (string, error) {
	if err := w.awaitStopped(ctx, p); err != nil {
		return "", err
	}
	w.startProcess(ctx, p)
	return string(p.settings.Host), nil
}

// drainServers asks one server of each service in the first data centre to
// take no new work.
func (w *world) drainServers(ctx context.Context) (string, error) {
	set := w.set.Normalised()
	drained := make(map[fleet.ServiceName]fleet.ServerID)
	for i, s := range set.Servers {
		if s.DataCentre == w.centres[0] && drained[s.Service] == "" && (s.Service == serviceHints || s.Service == serviceScores) {
			set.Servers[i].Drain = true
			drained[s.Service] = s.Name
		}
	}
	w.mu.Lock()
	for _, id := range drained {
		w.samples.excluded[id] = true
	}
	w.mu.Unlock()
	deadline := time.Now().Add(leavingLimit)
	w.flowServers[drained[serviceHints]].SetNewWorkCutoff(deadline)
	w.requestServers[drained[serviceScores]].SetNewWorkCutoff(deadline)
	target := string(drained[serviceHints]) + " " + string(drained[serviceScores])
	return target, w.publish(ctx, "drain "+target, set)
}

// takeOut takes the last data centre out, as the operators' command does.
func (w *world) takeOut(ctx context.Context) (string, error) {
	centre := w.centres[len(w.centres)-1]
	w.mu.Lock()
	w.evidence.CentreOut = centre
	w.mu.Unlock()
	w.eachServerOf(centre, func(s server) { s.SetPacketCutoff(time.Now().Add(outLimit)) })
	return string(centre), w.publishState(ctx, centre, config.StateOut)
}

// bringBack brings the data centre back; its servers start cold.
func (w *world) bringBack(ctx context.Context) (string, error) {
	centre := w.centres[len(w.centres)-1]
	w.eachServerOf(centre, func(s server) {
		s.SetPacketCutoff(time.Time{})
		s.ResetWarmup()
	})
	return string(centre), w.publishState(ctx, centre, config.StateIn)
}

func (w *world) publishState(ctx context.Context, centre fleet.DataCentreID, state config.DataCentreState) error {
	set := w.set.Normalised()
	for i := range set.DataCentres {
		if set.DataCentres[i].Name == centre {
			set.DataCentres[i].State = state
		}
	}
	return w.publish(ctx, "data centre "+string(centre)+" "+string(state), set)
}

// publish puts a set in force, checked and conditional as the operators'
// commands do.
func (w *world) publish(ctx context.Context, change string, set config.Set) error {
	if problems := config.Check(set); len(problems) > 0 {
		return problems
	}
	began := time.Now()
	head, err := w.platform.Head(ctx)
	if err != nil {
		return errors.Wrap(err, "publish "+change)
	}
	revised, err := w.platform.Publish(ctx, head, set, uuid.NewString())
	if err != nil {
		return errors.Wrap(err, "publish "+change)
	}
	w.set = set
	w.watch.Expect(began, revised.Revision, change)
	return nil
}

// server is what both kinds of backend server can do.
type server interface {
	SetPacketCutoff(t time.Time)
	ResetWarmup()
}

var (
	_ server = (*standin.FlowServer)(nil)
	_ server = (*standin.RequestServer)(nil)
)

func (w *world) eachServerOf(centre fleet.DataCentreID, do func(server)) {
	for id, s := range w.flowServers {
		if w.evidence.CentreOf[id] == centre {
			do(s)
		}
	}
	for id, s := range w.requestServers {
		if w.evidence.CentreOf[id] == centre {
			do(s)
		}
	}
}

// sleepUntil reports false when the context ends first.
func sleepUntil(ctx context.Context, due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

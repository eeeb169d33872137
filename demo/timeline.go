package demo

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/standin"
)

// step is a change that is due after a fraction of the demonstration's duration. A
// step without a phase belongs to the preceding phase.
type step struct {
	fraction float64 // from 0 to 1
	phase    Phase
	apply    func(ctx context.Context) (target string, err error)
}

func (tb *testbed) steps() []step {
	stopped := tb.pickHost(tb.centres[0])
	killed := tb.pickHost(tb.centres[len(tb.centres)-1])
	return []step{
		{0, PhaseWarmUp, func(context.Context) (string, error) { return "", nil }},
		{0.27, PhasePlannedStop, func(context.Context) (string, error) { return tb.plannedStop(stopped) }},
		{0.35, PhaseStart, func(ctx context.Context) (string, error) { return tb.restartHost(ctx, stopped) }},
		{0.40, PhaseKill, func(context.Context) (string, error) {
			tb.killHost(killed)
			return string(killed.settings.Host), nil
		}},
		{0.47, "", func(ctx context.Context) (string, error) { return tb.restartHost(ctx, killed) }},
		{0.50, PhaseDrain, tb.drainServers},
		{0.55, PhaseCentreOut, tb.takeCentreOut},
		{0.85, PhaseCentreIn, tb.bringCentreBack},
	}
}

func (tb *testbed) pickHost(centre fleet.DataCentreID) *managedHost {
	var candidates []*managedHost
	for _, host := range tb.hosts {
		if host.settings.DataCentre == centre {
			candidates = append(candidates, host)
		}
	}
	return candidates[tb.random.IntN(len(candidates))]
}

// runTimeline applies each change of the demonstration when it is due.
func (tb *testbed) runTimeline(ctx context.Context) {
	tb.recordError(tb.startGateway(ctx))
	samplingCtx, stopSampling := context.WithCancel(ctx)
	defer stopSampling()
	tb.group.Go(func() { tb.sampleEverySecond(samplingCtx) })
	start := time.Now()
	for _, s := range tb.steps() {
		due := start.Add(time.Duration(s.fraction * float64(tb.demo.duration())))
		if !sleepUntil(ctx, due) {
			tb.recordError(errors.New("interrupted"))
			return
		}
		tb.runStep(ctx, s)
	}
	if sleepUntil(ctx, start.Add(tb.demo.duration())) {
		tb.beginPhase(PhaseEnd)
	}
}

func (tb *testbed) runStep(ctx context.Context, s step) {
	if s.phase != "" {
		tb.beginPhase(s.phase)
	}
	target, err := s.apply(ctx)
	if err != nil {
		tb.recordError(errors.Wrapf(err, "phase %s", s.phase))
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if s.phase != "" {
		tb.observations.Phases[len(tb.observations.Phases)-1].Target = target
	}
}

func (tb *testbed) beginPhase(phase Phase) {
	now := time.Now()
	tb.mu.Lock()
	tb.observations.Phases = append(tb.observations.Phases, NewPhaseRow(phase, tb.startTime, now))
	tb.mu.Unlock()
	tb.samplePhaseStart(phase)
}

func (tb *testbed) plannedStop(host *managedHost) (string, error) {
	tb.mu.Lock()
	tb.observations.StoppedAddresses[host.settings.Listen.Request.String()] = true
	tb.mu.Unlock()
	tb.stopHost(host)
	return string(host.settings.Host), nil
}

func (tb *testbed) restartHost(ctx context.Context, host *managedHost) (string, error) {
	if err := tb.awaitStopped(ctx, host); err != nil {
		return "", err
	}
	tb.startHost(ctx, host)
	return string(host.settings.Host), nil
}

// drainServers drains one server of hints and one of scores in the first data
// centre.
func (tb *testbed) drainServers(ctx context.Context) (string, error) {
	set := tb.set.Normalised()
	drained := make(map[fleet.ServiceName]fleet.ServerID)
	for i, s := range set.Servers {
		if s.DataCentre == tb.centres[0] && drained[s.Service] == "" && (s.Service == serviceHints || s.Service == serviceScores) {
			set.Servers[i].Drain = true
			drained[s.Service] = s.Name
		}
	}
	tb.mu.Lock()
	for _, id := range drained {
		tb.samples.drained[id] = true
	}
	tb.mu.Unlock()
	deadline := time.Now().Add(drainLimit)
	tb.flowServers[drained[serviceHints]].SetNewWorkCutoff(deadline)
	tb.requestServers[drained[serviceScores]].SetNewWorkCutoff(deadline)
	target := string(drained[serviceHints]) + " " + string(drained[serviceScores])
	return target, tb.publish(ctx, "drain "+target, set)
}

// takeCentreOut takes the last data centre out of service, as the operators'
// command does.
func (tb *testbed) takeCentreOut(ctx context.Context) (string, error) {
	centre := tb.centres[len(tb.centres)-1]
	tb.mu.Lock()
	tb.observations.CentreOut = centre
	tb.mu.Unlock()
	tb.forEachServer(centre, func(s backendServer) { s.SetPacketCutoff(time.Now().Add(centreOutLimit)) })
	return string(centre), tb.publishCentreState(ctx, centre, config.StateOut)
}

// bringCentreBack returns the data centre to service. Its servers start cold.
func (tb *testbed) bringCentreBack(ctx context.Context) (string, error) {
	centre := tb.centres[len(tb.centres)-1]
	tb.forEachServer(centre, func(s backendServer) {
		s.SetPacketCutoff(time.Time{})
		s.ResetWarmup()
	})
	return string(centre), tb.publishCentreState(ctx, centre, config.StateIn)
}

func (tb *testbed) publishCentreState(ctx context.Context, centre fleet.DataCentreID, state config.DataCentreState) error {
	set := tb.set.Normalised()
	for i := range set.DataCentres {
		if set.DataCentres[i].Name == centre {
			set.DataCentres[i].State = state
		}
	}
	return tb.publish(ctx, "data centre "+string(centre)+" "+string(state), set)
}

// publish checks a set and publishes it on condition that the head is unchanged,
// as the operators' commands do.
func (tb *testbed) publish(ctx context.Context, change string, set config.Set) error {
	if problems := config.Check(set); len(problems) > 0 {
		return problems
	}
	publishedAt := time.Now()
	head, err := tb.platform.Head(ctx)
	if err != nil {
		return errors.Wrap(err, "publish "+change)
	}
	published, err := tb.platform.Publish(ctx, head, set, uuid.NewString())
	if err != nil {
		return errors.Wrap(err, "publish "+change)
	}
	tb.set = set
	tb.tracker.Expect(publishedAt, published.Revision, change)
	return nil
}

// backendServer is implemented by both kinds of backend server.
type backendServer interface {
	SetPacketCutoff(t time.Time)
	ResetWarmup()
}

var (
	_ backendServer = (*standin.FlowServer)(nil)
	_ backendServer = (*standin.RequestServer)(nil)
)

func (tb *testbed) forEachServer(centre fleet.DataCentreID, do func(backendServer)) {
	for id, s := range tb.flowServers {
		if tb.observations.CentreOf[id] == centre {
			do(s)
		}
	}
	for id, s := range tb.requestServers {
		if tb.observations.CentreOf[id] == centre {
			do(s)
		}
	}
}

// sleepUntil waits until due. It reports false if the context ends first.
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

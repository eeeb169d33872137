package trial

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/standin"
)

// callerCount is how many caller addresses there are; the last is the gateway's.
const callerCount = 8

// What the callers do.
const (
	hintsLongFlows  = 40 // of each caller
	hintsShortFlows = 20
	tallyLongFlows  = 10
	tallyShortFlows = 10
	shortLife       = 2 * time.Second
	openRate        = 20.0 // flows a second of each caller
	messageInterval = 250 * time.Millisecond
	retransmit      = 100 * time.Millisecond
	maxTries        = 6 // the last after 6.3 s of silence

	requestRate  = 40.0 // requests a second of each service
	attemptLimit = 5 * time.Second
	retryPause   = 100 * time.Millisecond
	mapSize      = 64 << 10 // bytes of an answer
	scoreSize    = 500
)

func (w *world) startCallers(ctx context.Context) error {
	sockets, err := listenCallers(callerCount, answerPort)
	if err != nil {
		return err
	}
	w.callerSockets = sockets
	ctx, w.stopCalling = context.WithCancel(ctx)
	tallyCallers := 2
	for i, socket := range sockets[:callerCount-1] {
		caller := w.newFlowCaller(i, i < tallyCallers)
		caller.Address = addressOf(socket)
		w.flowCallers = append(w.flowCallers, caller)
		w.callers.Go(func() { w.fail(caller.Run(ctx, socket)) })
	}
	for i, service := range []fleet.ServiceName{serviceMaps, serviceScores} {
		caller := w.newRequestCaller(i, service)
		w.requestCallers = append(w.requestCallers, caller)
		w.callers.Go(func() { w.fail(caller.Run(ctx)) })
	}
	return nil
}

func (w *world) newFlowCaller(number int, tally bool) *standin.FlowCaller {
	caller := &standin.FlowCaller{
		Service:           serviceHints,
		Destination:       w.service(serviceHints).Address,
		Protocol:          fleet.ProtocolTCP,
		Send:              w.fabric.Send,
		LongFlows:         hintsLongFlows,
		ShortFlows:        hintsShortFlows,
		ShortFlowDuration: shortLife,
		OpenRate:          openRate,
		Interval:          messageInterval,
		RetransmitTimeout: retransmit,
		MaxAttempts:       maxTries,
		Seed:              w.trial.Seed + uint64(number),
	}
	if tally {
		caller.Service = serviceTally
		caller.Destination = w.service(serviceTally).Address
		caller.Protocol = fleet.ProtocolUDP
		caller.LongFlows = tallyLongFlows
		caller.ShortFlows = tallyShortFlows
	}
	return caller
}

func (w *world) newRequestCaller(number int, service fleet.ServiceName) *standin.RequestCaller {
	caller := &standin.RequestCaller{
		Service:      service,
		Host:         w.service(service).Host,
		Address:      w.fabric.RequestAddress,
		Rate:         requestRate,
		Timeout:      attemptLimit,
		RetryDelay:   retryPause,
		ResponseSize: mapSize,
		Ledger:       &w.samples.ledger,
		Seed:         w.trial.Seed + uint64(number),
	}
	if service == serviceScores {
		caller.PostRatio = 1
		caller.ResponseSize = scoreSize
	}
	return caller
}

// stopCallers ends the calls and waits for answers that are under way.
func (w *world) stopCallers() {
	if w.stopCalling != nil {
		w.stopCalling()
	}
	w.callers.Wait()
}

// startGateway serves ordinary UDP clients of the flow service tally.
func (w *world) startGateway(ctx context.Context) error {
	answers := w.callerSockets[callerCount-1]
	w.gateway = &standin.Gateway{
		Address:     addressOf(answers),
		Destination: w.service(serviceTally).Address,
		Send:        w.fabric.Send,
	}
	socket, err := listenUDP(w.gatewayAddress)
	if err != nil {
		return errors.Wrap(err, "gateway")
	}
	w.goRun(func() error { return w.gateway.Run(ctx, socket, answers) })
	return nil
}

package demo

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/standin"
)

// callerCount is the number of caller addresses. The gateway uses the last one.
const callerCount = 8

// The load that callers generate.
const (
	hintsLongFlows    = 40 // open at once, for each caller
	hintsShortFlows   = 20
	tallyLongFlows    = 10
	tallyShortFlows   = 10
	shortFlowDuration = 2 * time.Second
	flowOpenRate      = 20.0 // flows per second, for each caller
	messageInterval   = 250 * time.Millisecond
	retransmitTimeout = 100 * time.Millisecond // doubles with each retransmission
	maxAttempts       = 6                      // a flow breaks after 6.3 s without a response

	requestRate        = 40.0 // requests per second, for each service
	attemptTimeout     = 5 * time.Second
	retryDelay         = 100 * time.Millisecond
	mapsResponseSize   = 64 << 10 // bytes
	scoresResponseSize = 500      // bytes
)

func (tb *testbed) startCallers(ctx context.Context) error {
	sockets, err := listenCallers(callerCount, answerPort)
	if err != nil {
		return err
	}
	tb.callerSockets = sockets
	ctx, tb.cancelCallers = context.WithCancel(ctx)
	tallyCallers := 2
	for i, socket := range sockets[:callerCount-1] {
		caller := tb.newFlowCaller(i, i < tallyCallers)
		caller.Address = addressOf(socket)
		tb.flowCallers = append(tb.flowCallers, caller)
		tb.callerGroup.Go(func() { tb.recordError(caller.Run(ctx, socket)) })
	}
	for i, service := range []fleet.ServiceName{serviceMaps, serviceScores} {
		caller := tb.newRequestCaller(i, service)
		tb.requestCallers = append(tb.requestCallers, caller)
		tb.callerGroup.Go(func() { tb.recordError(caller.Run(ctx)) })
	}
	return nil
}

func (tb *testbed) newFlowCaller(index int, tally bool) *standin.FlowCaller {
	caller := &standin.FlowCaller{
		Service:           serviceHints,
		Destination:       tb.service(serviceHints).Address,
		Protocol:          fleet.ProtocolTCP,
		Send:              tb.fabric.Send,
		LongFlows:         hintsLongFlows,
		ShortFlows:        hintsShortFlows,
		ShortFlowDuration: shortFlowDuration,
		OpenRate:          flowOpenRate,
		Interval:          messageInterval,
		RetransmitTimeout: retransmitTimeout,
		MaxAttempts:       maxAttempts,
		Seed:              tb.demo.Seed + uint64(index),
	}
	if tally {
		caller.Service = serviceTally
		caller.Destination = tb.service(serviceTally).Address
		caller.Protocol = fleet.ProtocolUDP
		caller.LongFlows = tallyLongFlows
		caller.ShortFlows = tallyShortFlows
	}
	return caller
}

func (tb *testbed) newRequestCaller(index int, service fleet.ServiceName) *standin.RequestCaller {
	caller := &standin.RequestCaller{
		Service:      service,
		Host:         tb.service(service).Host,
		Address:      tb.fabric.RequestAddress,
		Rate:         requestRate,
		Timeout:      attemptTimeout,
		RetryDelay:   retryDelay,
		ResponseSize: mapsResponseSize,
		Ledger:       &tb.samples.ledger,
		Seed:         tb.demo.Seed + uint64(index),
	}
	if service == serviceScores {
		caller.PostRatio = 1
		caller.ResponseSize = scoresResponseSize
	}
	return caller
}

// stopCallers stops the callers and waits for outstanding responses.
func (tb *testbed) stopCallers() {
	if tb.cancelCallers != nil {
		tb.cancelCallers()
	}
	tb.callerGroup.Wait()
}

// startGateway starts the gateway for plain UDP clients of the flow service tally.
func (tb *testbed) startGateway(ctx context.Context) error {
	responseSocket := tb.callerSockets[callerCount-1]
	tb.gateway = &standin.Gateway{
		Address:     addressOf(responseSocket),
		Destination: tb.service(serviceTally).Address,
		Send:        tb.fabric.Send,
	}
	clientSocket, err := listenUDP(tb.gatewayAddress)
	if err != nil {
		return errors.Wrap(err, "gateway")
	}
	tb.runInBackground(func() error { return tb.gateway.Run(ctx, clientSocket, responseSocket) })
	return nil
}

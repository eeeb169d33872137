package host

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/thejerf/suture/v4"
)

const (
	restartBackoff   = time.Second
	restartThreshold = 5  // failures
	restartDecay     = 30 // seconds, over which failures are forgotten
	stopTimeout      = 5 * time.Second
)

// service is a named part of the supervisor tree.
type service struct {
	name string
	run  func(context.Context) error
}

// Serve runs the part until ctx ends.
func (s service) Serve(ctx context.Context) error { return s.run(ctx) }

// String returns the part's name for logs.
func (s service) String() string { return s.name }

// newSupervisor returns a supervisor that restarts failed parts with backoff,
// counts each restart and logs it.
func newSupervisor(name string, logger hclog.Logger, restarts *prometheus.CounterVec) *suture.Supervisor {
	hook := func(e suture.Event) {
		switch e := e.(type) {
		case suture.EventServicePanic:
			restarts.WithLabelValues(e.ServiceName, "panic").Inc()
			logger.Error("part crashed", "part", e.ServiceName, "panic", e.PanicMsg, "stack", e.Stacktrace)
		case suture.EventServiceTerminate:
			restarts.WithLabelValues(e.ServiceName, "error").Inc()
			logger.Warn("part failed", "part", e.ServiceName, "error", e.Err)
		case suture.EventStopTimeout:
			logger.Warn("part did not stop in time", "part", e.ServiceName)
		case suture.EventBackoff:
			logger.Warn("restarts are delayed", "supervisor", e.SupervisorName)
		case suture.EventResume:
			logger.Info("restarts go on", "supervisor", e.SupervisorName)
		}
	}
	return suture.New(name, suture.Spec{
		EventHook:        hook,
		FailureBackoff:   restartBackoff,
		FailureThreshold: restartThreshold,
		FailureDecay:     restartDecay,
		Timeout:          stopTimeout,
	})
}

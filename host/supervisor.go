package host

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/thejerf/suture/v4"
)

const (
	restartBackoff      = time.Second
	restartThreshold    = 5  // failures before restarts are delayed
	restartDecaySeconds = 30 // after which the failure count is halved
	stopTimeout         = 5 * time.Second
)

// service is a named component of the supervisor tree.
type service struct {
	name string
	run  func(context.Context) error
}

// Serve runs the component until ctx ends.
func (s service) Serve(ctx context.Context) error { return s.run(ctx) }

// String returns the name of the component for logs.
func (s service) String() string { return s.name }

// newSupervisor returns a supervisor that restarts failed components with backoff
// and counts and logs each restart.
func newSupervisor(name string, logger hclog.Logger, restarts *prometheus.CounterVec) *suture.Supervisor {
	hook := func(e suture.Event) {
		switch e := e.(type) {
		case suture.EventServicePanic:
			restarts.WithLabelValues(e.ServiceName, "panic").Inc()
			logger.Error("component panicked", "part", e.ServiceName, "panic", e.PanicMsg, "stack", e.Stacktrace)
		case suture.EventServiceTerminate:
			restarts.WithLabelValues(e.ServiceName, "error").Inc()
			logger.Warn("component failed", "part", e.ServiceName, "error", e.Err)
		case suture.EventStopTimeout:
			logger.Warn("component did not stop within the timeout", "part", e.ServiceName)
		case suture.EventBackoff:
			logger.Warn("too many failures; restarts are delayed", "supervisor", e.SupervisorName)
		case suture.EventResume:
			logger.Info("restarts resumed", "supervisor", e.SupervisorName)
		}
	}
	return suture.New(name, suture.Spec{
		EventHook:        hook,
		FailureBackoff:   restartBackoff,
		FailureThreshold: restartThreshold,
		FailureDecay:     restartDecaySeconds,
		Timeout:          stopTimeout,
	})
}

package demo

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/settings"
	"github.com/rattanthread/rattanthread/status"
)

// Demo is one run of the whole system with stand-ins for its environment. The zero
// value is ready to use.
type Demo struct {
	// Seed seeds the random choices of the stand-ins and of the hosts to stop and
	// kill.
	Seed uint64
	// Duration is how long the callers run. Zero means DefaultDuration.
	Duration time.Duration
	// HostsPerDataCentre is the number of entry hosts in each data centre. Zero
	// means 3.
	HostsPerDataCentre int
	// Progress receives a progress line that is overwritten every second. Nil
	// means no progress line.
	Progress io.Writer
	// Logger receives the entry hosts' logs. Nil means no logs.
	Logger hclog.Logger
	// NewHost creates an entry host. Nil means a host.Host.
	NewHost func(settings.Settings) EntryHost
	// Hold is called after the callers have stopped, while everything else still
	// runs. Nil means to stop everything immediately.
	Hold func(ctx context.Context, report Report, addresses Addresses)
}

// Defaults and limits of a Demo.
const (
	DefaultDuration           = 30 * time.Second
	DefaultHostsPerDataCentre = 3
	// MinDuration leaves enough time for each change to take effect.
	MinDuration = 30 * time.Second
)

// Addresses lists the addresses at which ordinary clients reach a running
// demonstration.
type Addresses struct {
	Platform string // URL
	// Gateway accepts plain UDP datagrams for the flow service tally.
	Gateway string
	Hosts   []HostAddresses
	// RequestHosts are the HTTP host names of the request services.
	RequestHosts []string
}

// HostAddresses are the addresses of one entry host.
type HostAddresses struct {
	Host    fleet.HostID
	Request string
	Admin   string
}

// Run runs the demonstration to its end. It returns an error if the
// demonstration could not start; later errors are in the report.
func (d *Demo) Run(ctx context.Context) (Report, error) {
	tb, err := newTestbed(d)
	if err != nil {
		return Report{}, errors.Wrap(err, "set up demonstration")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := tb.start(ctx); err != nil {
		cancel()
		tb.wait()
		return Report{}, errors.Wrap(tb.firstError(err), "start demonstration")
	}
	tb.runTimeline(ctx)
	tb.stopCallers()
	report := tb.report()
	if d.Hold != nil && ctx.Err() == nil {
		d.Hold(ctx, report, tb.addresses())
	}
	tb.stopHosts()
	cancel()
	tb.wait()
	return report, nil
}

func (d *Demo) duration() time.Duration {
	return orDefault(d.Duration, DefaultDuration)
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

func secondsSince(start, t time.Time) status.Seconds {
	return status.SecondsOf(t.Sub(start))
}

package trial

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

// Trial is one run of the whole system between stand-ins. The zero value works.
type Trial struct {
	// Seed fixes what is random in the stand-ins and in the choice of targets.
	Seed uint64
	// Duration is how long the callers run; zero means DefaultDuration.
	Duration time.Duration
	// HostsPerDataCentre is how many entry hosts each has; zero means 3.
	HostsPerDataCentre int
	// Progress gets a line that is written over and over; nil means none.
	Progress io.Writer
	// Logger gets the entry hosts' logs; nil means none.
	Logger hclog.Logger
	// NewHost makes an entry host; nil means package host.
	NewHost func(settings.Settings) EntryHost
	// Hold is called after the callers have stopped, while the rest still runs;
	// nil means to stop at once.
	Hold func(ctx context.Context, report Report, addresses Addresses)
}

// The defaults of a Trial.
const (
	DefaultDuration           = 30 * time.Second
	DefaultHostsPerDataCentre = 3
	// MinDuration leaves each change the time to show.
	MinDuration = 30 * time.Second
)

// Addresses tells an ordinary user where a running trial can be reached.
type Addresses struct {
	Platform string // URL
	// Gateway takes plain UDP datagrams for the flow service tally.
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

// Run runs the trial to its end. The error tells that the trial itself could
// not be run; what went wrong in it is in the report.
func (t *Trial) Run(ctx context.Context) (Report, error) {
	w, err := newWorld(t)
	if err != nil {
		return Report{}, errors.Wrap(err, "set up the trial")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := w.start(ctx); err != nil {
		cancel()
		w.wait()
		return Report{}, errors.Wrap(w.firstError(err), "start the trial")
	}
	w.runTimeline(ctx)
	w.stopCallers()
	report := w.report()
	if t.Hold != nil && ctx.Err() == nil {
		t.Hold(ctx, report, w.addresses())
	}
	w.stopHosts()
	cancel()
	w.wait()
	return report, nil
}

func (t *Trial) duration() time.Duration {
	return orDefault(t.Duration, DefaultDuration)
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

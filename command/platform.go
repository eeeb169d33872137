package command

import (
	"context"
	"flag"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/rattanthread/rattanthread/registrystandin"
)

// headerTimeout bounds how long a caller of the stand-in takes for its header.
const headerTimeout = 10 * time.Second

// Platform is the command that runs the stand-in of the platform.
type Platform struct {
	Environment
	Listen string
	// Listening is called with the address once the stand-in serves; it may be nil.
	Listening func(net.Addr)
}

// Name returns the name of the command.
func (*Platform) Name() string { return "platform" }

// Synopsis describes the command in one line.
func (*Platform) Synopsis() string { return "run a stand-in of the platform, for trials" }

// Usage describes the command.
func (*Platform) Usage() string {
	return `platform [-listen ADDRESS]:
  Serve the platform's object API from memory until interrupted. Everything is
  lost at the end. For trials, not for service. Faults are set over HTTP:

    curl -X POST   'http://127.0.0.1:7000/faults?down=true'      no answers at all
    curl -X POST   'http://127.0.0.1:7000/faults?delay=3s'       slow
    curl -X POST   'http://127.0.0.1:7000/faults?lose_answers=1' next write takes effect unanswered
    curl -X POST   'http://127.0.0.1:7000/faults?lag=5s'         reads show an old state
    curl -X DELETE 'http://127.0.0.1:7000/faults'                well again
    curl           'http://127.0.0.1:7000/counts'                calls so far
`
}

// SetFlags defines the flags of the command.
func (c *Platform) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.Listen, "listen", "127.0.0.1:7000", "`address` to serve on")
}

// Execute runs the command.
func (c *Platform) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		return c.fail(badInput("want no arguments, have %d", f.NArg()))
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := c.serve(ctx); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *Platform) serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrap(err, "serve platform")
	}
	c.printf("platform stand-in on http://%s\n", listener.Addr())
	if c.Listening != nil {
		c.Listening(listener.Addr())
	}
	server := http.Server{Handler: &registrystandin.Server{}, ReadHeaderTimeout: headerTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve platform")
	}
	return nil
}

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

// headerTimeout is the time limit for reading the header of a request.
const headerTimeout = 10 * time.Second

// Platform is the command that runs a stand-in for the platform.
type Platform struct {
	Environment
	Listen string
	// Listening, if set, is called with the address once the stand-in listens.
	Listening func(net.Addr)
}

// Name returns the name of the subcommand.
func (*Platform) Name() string { return "platform" }

// Synopsis returns a one-line description of the command.
func (*Platform) Synopsis() string { return "run a stand-in for the platform, for testing" }

// Usage returns the help text of the command.
func (*Platform) Usage() string {
	return `platform [-listen ADDRESS]:
  Serve the platform's object API from memory until interrupted. Nothing is
  persisted. For testing, not for production. Faults are set over HTTP:

    curl -X POST   'http://127.0.0.1:7000/faults?down=true'      no responses
    curl -X POST   'http://127.0.0.1:7000/faults?delay=3s'       delayed responses
    curl -X POST   'http://127.0.0.1:7000/faults?lose_answers=1' next write takes effect, response is lost
    curl -X POST   'http://127.0.0.1:7000/faults?lag=5s'         stale reads
    curl -X DELETE 'http://127.0.0.1:7000/faults'                clear all faults
    curl           'http://127.0.0.1:7000/counts'                number of calls
`
}

// SetFlags defines the command's flags.
func (c *Platform) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.Listen, "listen", "127.0.0.1:7000", "`address` to serve on")
}

// Execute runs the command.
func (c *Platform) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		return c.fail(inputErrorf("want no arguments, have %d", f.NArg()))
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
	c.printf("platform stand-in listening on http://%s\n", listener.Addr())
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

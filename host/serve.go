package host

import (
	"context"
	"net"
	"net/http"

	"github.com/go-faster/errors"
)

// serveHTTP serves on a listener that outlives the server, until ctx ends.
func serveHTTP(ctx context.Context, server *http.Server, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(keepOpen{listener})
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve at %s", listener.Addr())
}

// keepOpen is a listener that its server does not close, so that the server can
// be restarted.
type keepOpen struct{ net.Listener }

// Close does nothing.
func (keepOpen) Close() error { return nil }

package host

import (
	"context"
	"net"
	"net/http"

	"github.com/go-faster/errors"
)

// serveHTTP serves until ctx ends. It leaves the listener open.
func serveHTTP(ctx context.Context, server *http.Server, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(keepOpenListener{listener})
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve on %s", listener.Addr())
}

// keepOpenListener is a listener that stays open when its server closes it, so that
// the server can be restarted.
type keepOpenListener struct{ net.Listener }

// Close does nothing.
func (keepOpenListener) Close() error { return nil }

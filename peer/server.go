package peer

import (
	"context"
	"net"
	"net/http"

	"github.com/go-faster/errors"
)

// serveLinks accepts links from peers until ctx ends.
func (h *Hub) serveLinks(ctx context.Context, listener net.Listener) error {
	mux := http.NewServeMux()
	mux.Handle(linkPath, h)
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: h.limits.Handshake,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Wrap(err, "accept links from peers")
}

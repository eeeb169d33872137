package peer

import (
	"context"
	"net"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
)

// maxHeaderBytes limits the header of the HTTP request that opens a link.
const maxHeaderBytes = 4 << 10

// serveLinks accepts inbound links until ctx ends.
func (h *Hub) serveLinks(ctx context.Context, listener net.Listener) error {
	mux := http.NewServeMux()
	mux.Handle(linkPath, h)
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: h.limits.HandshakeTimeout,
		IdleTimeout:       h.limits.HandshakeTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          h.Logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Trace}),
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

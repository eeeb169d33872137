package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// readHeaderTimeout bounds how long a health check may take to ask.
const readHeaderTimeout = 2 * time.Second

// serveReadiness answers whether the fabric should send packets here.
func (h *Host) serveReadiness(ctx context.Context, listener net.Listener) error {
	server := http.Server{Handler: http.HandlerFunc(h.answerReadiness), ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve health checks")
	}
	return nil
}

func (h *Host) answerReadiness(w http.ResponseWriter, _ *http.Request) {
	if h.stopping.Load() || !h.snapshot.Load().catalogue.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

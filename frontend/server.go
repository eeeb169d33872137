package frontend

import (
	"net/http"
	"time"
)

// Settings of HTTPServer.
const (
	headerTimeout = 5 * time.Second  // to receive the headers of a request
	idleTimeout   = 60 * time.Second // between two requests on a connection
)

// HTTPServer returns an http.Server with h as its handler, which closes connections
// whose headers arrive slowly. net/http refuses headers longer than about twice
// MaxHeaderBytes; shorter ones above the limit reach h, so that it counts the refusal.
func (h *Handler) HTTPServer() *http.Server {
	h.setup()
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    2 * h.MaxHeaderBytes,
	}
}

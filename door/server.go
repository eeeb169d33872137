package door

import (
	"net/http"
	"time"
)

// The settings of Server.
const (
	headerTimeout = 5 * time.Second  // to send the headers of a request
	idleTimeout   = 60 * time.Second // between two requests of a connection
)

// Server returns an http.Server with d as its handler, which ends connections
// that send their headers slowly. Headers a little above MaxHeaderBytes reach
// the Door, so that it counts their refusal; net/http refuses longer ones.
func (d *Door) Server() *http.Server {
	d.setup()
	return &http.Server{
		Handler:           d,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    2 * d.MaxHeaderBytes,
	}
}

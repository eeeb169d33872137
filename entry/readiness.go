package entry

import (
	"net/http"

	"github.com/rattanthread/rattanthread/catalogue"
)

// serveReadiness serves the health checks of the fabric.
func (h *Host) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !h.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Ready reports whether the fabric should send packets to this host.
func (h *Host) Ready() bool {
	state := h.snapshot.Load()
	return !h.stopping.Load() && state != nil && state.catalogue.Ready() && !h.checkIsolation(state.catalogue)
}

// checkIsolation reports whether this host can't reach any of the servers that it may use, in
// which case other hosts serve callers better. The host keeps probing the servers.
func (h *Host) checkIsolation(current *catalogue.Catalogue) bool {
	h.mu.Lock()
	isolated := h.forwarder.Chooser.Isolated(h.network.Now(), current)
	h.mu.Unlock()
	if before := h.isolated.Swap(isolated); before != isolated {
		h.log.Line("isolation_changed", "isolated", isolated)
	}
	return isolated
}

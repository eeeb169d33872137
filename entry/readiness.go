package entry

import "net/http"

// answerReadiness says whether the fabric should send packets here.
func (h *Host) answerReadiness(w http.ResponseWriter, _ *http.Request) {
	if !h.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Ready reports whether the fabric should send packets here.
func (h *Host) Ready() bool {
	known := h.snapshot.Load()
	return !h.stopping.Load() && known != nil && known.catalogue.Ready() && !h.reachesNoServer()
}

// reachesNoServer reports whether callers are better served by other hosts, as this
// one is cut off from all servers. It goes on probing them.
func (h *Host) reachesNoServer() bool {
	h.mu.Lock()
	isolated := h.forwarder.Chooser.Isolation.Isolated(h.network.Now())
	h.mu.Unlock()
	if before := h.isolated.Swap(isolated); before != isolated {
		h.log.Line("isolation_changed", "isolated", isolated)
	}
	return isolated
}

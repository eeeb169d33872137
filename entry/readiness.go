package entry

import (
	"net/http"

	"github.com/rattanthread/rattanthread/catalogue"
)

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
	return !h.stopping.Load() && known != nil && known.catalogue.Ready() && !h.cutOff(known.catalogue)
}

// cutOff reports whether callers are better served by other hosts, as this one
// reaches no server that it may use. It goes on probing them.
func (h *Host) cutOff(known *catalogue.Catalogue) bool {
	h.mu.Lock()
	isolated := h.forwarder.Chooser.Isolated(h.network.Now(), known)
	h.mu.Unlock()
	if before := h.isolated.Swap(isolated); before != isolated {
		h.log.Line("isolation_changed", "isolated", isolated)
	}
	return isolated
}

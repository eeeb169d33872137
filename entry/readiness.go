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
	return !h.stopping.Load() && known != nil && known.catalogue.Ready()
}

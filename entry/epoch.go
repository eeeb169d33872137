package entry

import "github.com/rattanthread/rattanthread/fleet"

// observeEpoch records the epoch of a response of the store.
func (h *Host) observeEpoch(epoch fleet.StoreEpoch) {
	for {
		known := h.storeEpoch.Load()
		if uint64(epoch) <= known {
			return
		}
		if h.storeEpoch.CompareAndSwap(known, uint64(epoch)) {
			h.metrics.storeEpoch.Set(float64(epoch))
			h.log.Line("store_epoch", "epoch", epoch, "previous", known)
			return
		}
	}
}

package host

import (
	"time"

	"github.com/rattanthread/rattanthread/control"
	"github.com/rattanthread/rattanthread/status"
)

// snapshotStatus returns the status of the host in a snapshot.
func snapshotStatus(host *Host, snapshot *control.Snapshot) status.Host {
	state := status.Host{
		Host:        host.Settings.Host,
		DataCentre:  host.Settings.DataCentre,
		Incarnation: host.Incarnation,
		Ready:       snapshot.Ready,
		Reason:      notReadyReason(snapshot),
		History:     snapshot.Published.History,
		Revision:    snapshot.Published.Revision,
	}
	for _, member := range snapshot.Members {
		state.Peers = append(state.Peers, status.Peer{Host: member.Host.ID, State: member.Status.String()})
	}
	for _, record := range snapshot.Records {
		state.Servers = append(state.Servers, status.Server{Server: record.Server, Phase: record.Phase.String()})
	}
	return state
}

func notReadyReason(s *control.Snapshot) string {
	switch {
	case s.Ready:
		return ""
	case s.Superseded:
		return "a later incarnation of this host is live"
	case s.Stale:
		return "paused, waiting for a peer or the platform to confirm this host"
	case !s.Configured:
		return "no configuration from the platform or a peer yet"
	default:
		return "learning from its peers, or stopping as planned"
	}
}

// currentStatus returns the status together with the values that change without
// a new snapshot: the age of the revision and the counters.
func (h *Host) currentStatus(now time.Time) status.Host {
	state := h.Status()
	if h.components == nil {
		return state
	}
	if snapshot := h.components.loop.snapshot(); snapshot != nil && snapshot.Configured {
		state.RevisionAge = status.SecondsOf(now.Sub(snapshot.Adopted))
	}
	state.Counters = gatherCounters(h.Registry)
	return state
}

package host

import (
	"time"

	"github.com/rattanthread/rattanthread/control"
	"github.com/rattanthread/rattanthread/status"
)

// describe returns what the host says of itself by a snapshot.
func describe(h *Host, s *control.Snapshot) status.Host {
	state := status.Host{
		Host:        h.Settings.Host,
		DataCentre:  h.Settings.DataCentre,
		Incarnation: h.Incarnation,
		Ready:       s.Ready,
		Reason:      notReadyReason(s),
		History:     s.Revised.History,
		Revision:    s.Revised.Revision,
	}
	for _, m := range s.Members {
		state.Peers = append(state.Peers, status.Peer{Host: m.Host.ID, State: m.Status.String()})
	}
	for _, r := range s.Records {
		state.Servers = append(state.Servers, status.Server{Server: r.Server, Phase: r.Phase.String()})
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

// current returns the state with the values that change with time.
func (h *Host) current(now time.Time) status.Host {
	state := h.Status()
	if h.parts == nil {
		return state
	}
	if s := h.parts.loop.snapshot(); s != nil && s.Configured {
		state.RevisionAge = status.SecondsOf(now.Sub(s.Adopted))
	}
	state.Counters = gather(h.Registry)
	return state
}

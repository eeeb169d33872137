package packet

// Reason is the error for a refused datagram. Each reason has its own counter.
type Reason string

// Error implements error.
func (r Reason) Error() string { return "packet: " + string(r) }

// The reasons for refusing a datagram.
const (
	ReasonTruncated  Reason = "truncated"   // shorter than the lengths in its headers
	ReasonBadVersion Reason = "bad_version" // neither IPv4 nor IPv6
	ReasonBadHeader  Reason = "bad_header"  // an impossible length in a header
	ReasonFragment   Reason = "fragment"    // a fragment of a larger packet
	ReasonOversize   Reason = "oversize"    // longer than MaxInner, or with bytes after its end
	ReasonProtocol   Reason = "protocol"    // neither TCP nor UDP
	ReasonHopLimit   Reason = "hop_limit"   // the hop limit is used up, as in a routing loop
	ReasonForged     Reason = "forged"      // handoff: the MAC is wrong or was made for another receiver
	ReasonMalformed  Reason = "malformed"   // handoff: the header is malformed
	ReasonExpired    Reason = "expired"     // handoff: the time is too old, or too far in the future
	ReasonReplayed   Reason = "replayed"    // handoff: already received, or behind the replay window
	ReasonHops       Reason = "hops"        // handoff: handed off more than once
)

// Reasons returns all reasons, so that their counters can start at zero.
func Reasons() []Reason {
	return []Reason{
		ReasonTruncated, ReasonBadVersion, ReasonBadHeader, ReasonFragment, ReasonOversize, ReasonProtocol,
		ReasonHopLimit, ReasonForged, ReasonMalformed, ReasonExpired, ReasonReplayed, ReasonHops,
	}
}

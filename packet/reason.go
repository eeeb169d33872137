package packet

// Reason tells why a datagram was refused. It is an error, and each has a counter.
type Reason string

// Error implements error.
func (r Reason) Error() string { return "packet: " + string(r) }

// The reasons for refusing a datagram.
const (
	ReasonTruncated  Reason = "truncated"   // shorter than its headers say
	ReasonBadVersion Reason = "bad_version" // neither IPv4 nor IPv6
	ReasonBadHeader  Reason = "bad_header"  // a header length that cannot be
	ReasonFragment   Reason = "fragment"    // a fragment of a larger packet
	ReasonOversize   Reason = "oversize"    // longer than MaxInner, or with bytes after its end
	ReasonProtocol   Reason = "protocol"    // neither TCP nor UDP
	ReasonHopLimit   Reason = "hop_limit"   // the hop limit has run out: the packet loops
	ReasonForged     Reason = "forged"      // handoff: the authentication code is wrong, or made for another receiver
	ReasonMalformed  Reason = "malformed"   // handoff: not a handoff
	ReasonExpired    Reason = "expired"     // handoff: sealed too long ago, or in the future
	ReasonReplayed   Reason = "replayed"    // handoff: seen before, or too far behind to tell
	ReasonHops       Reason = "hops"        // handoff: handed on more than once
)

// Reasons returns all reasons, so that their counters can stand at zero.
func Reasons() []Reason {
	return []Reason{
		ReasonTruncated, ReasonBadVersion, ReasonBadHeader, ReasonFragment, ReasonOversize, ReasonProtocol,
		ReasonHopLimit, ReasonForged, ReasonMalformed, ReasonExpired, ReasonReplayed, ReasonHops,
	}
}

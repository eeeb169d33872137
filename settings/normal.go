package settings

import (
	"cmp"
	"time"
)

// Defaults of the settings that the file omits.
const (
	DefaultPlatformTimeout  = 2 * time.Second
	DefaultHeartbeat        = 500 * time.Millisecond
	DefaultSuspicion        = 2 * time.Second
	DefaultFlowRecords      = 1_000_000
	DefaultExceptionalFlows = 200_000
	DefaultRequestKeys      = 200_000
	DefaultQueuedMessages   = 256
	DefaultMessageBytes     = 1 << 20
	DefaultPacketWorkers    = 2
	DefaultLogLevel         = "info"
	DefaultAnswerPort       = uint16(5555)
	DefaultCallerClockSkew  = 10 * time.Second
)

// Normalised returns the settings with every default filled in.
func (s Settings) Normalised() Settings {
	s.Platform.Timeout = cmp.Or(s.Platform.Timeout, DefaultPlatformTimeout)
	s.Peers.Heartbeat = cmp.Or(s.Peers.Heartbeat, DefaultHeartbeat)
	s.Peers.Suspicion = cmp.Or(s.Peers.Suspicion, DefaultSuspicion)
	s.Limits.FlowRecords = cmp.Or(s.Limits.FlowRecords, DefaultFlowRecords)
	s.Limits.ExceptionalFlows = cmp.Or(s.Limits.ExceptionalFlows, DefaultExceptionalFlows)
	s.Limits.RequestKeys = cmp.Or(s.Limits.RequestKeys, DefaultRequestKeys)
	s.Limits.QueuedMessages = cmp.Or(s.Limits.QueuedMessages, DefaultQueuedMessages)
	s.Limits.MessageBytes = cmp.Or(s.Limits.MessageBytes, DefaultMessageBytes)
	s.Limits.PacketWorkers = cmp.Or(s.Limits.PacketWorkers, DefaultPacketWorkers)
	s.Limits.CallerClockSkew = cmp.Or(s.Limits.CallerClockSkew, DefaultCallerClockSkew)
	s.Listen.AnswerPort = cmp.Or(s.Listen.AnswerPort, DefaultAnswerPort)
	s.Log.Level = cmp.Or(s.Log.Level, DefaultLogLevel)
	return s
}

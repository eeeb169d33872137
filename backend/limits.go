package backend

import (
	"time"

	"github.com/rattanthread/rattanthread/config"
)

// Limits are the parameters of a Pool. Zero fields mean the defaults below.
type Limits struct {
	// CreditLifetime is how long credit may be spent after it was requested.
	CreditLifetime time.Duration
	// PromiseLifetime is how long a host promises its share of the bounds to one
	// allocator.
	PromiseLifetime time.Duration
	// MemberExpiry is how long a host that disappeared without a planned stop keeps
	// its share. Partitions shorter than this never raise a bound.
	MemberExpiry time.Duration
	// Fanout is how many peers a new record is forwarded to.
	Fanout int
	// RecordsPerMessage is the maximum number of records in a gossip message.
	RecordsPerMessage int
}

// Defaults of Limits.
const (
	DefaultCreditLifetime    = 500 * time.Millisecond
	DefaultPromiseLifetime   = 2 * time.Second
	DefaultMemberExpiry      = 10 * time.Minute
	DefaultFanout            = 3
	DefaultRecordsPerMessage = 128
)

// Defaults for zero fields of a config.Server.
const (
	defaultColdRate   = 5.0 // new flows or requests per second
	defaultWarmupTime = 30 * time.Second
)

func (l Limits) withDefaults() Limits {
	l.CreditLifetime = orDefault(l.CreditLifetime, DefaultCreditLifetime)
	l.PromiseLifetime = orDefault(l.PromiseLifetime, DefaultPromiseLifetime)
	l.MemberExpiry = orDefault(l.MemberExpiry, DefaultMemberExpiry)
	l.Fanout = orDefault(l.Fanout, DefaultFanout)
	l.RecordsPerMessage = orDefault(l.RecordsPerMessage, DefaultRecordsPerMessage)
	return l
}

func orDefault[T int | float64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

func coldRate(s config.Server) float64 {
	return orDefault(s.ColdRate, defaultColdRate)
}

func warmupTime(s config.Server) time.Duration {
	return orDefault(s.WarmupTime, defaultWarmupTime)
}

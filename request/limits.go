package request

import "time"

// Limits are the tunables of Keys. Zero fields take the defaults below.
type Limits struct {
	// Keys is how many claims a host keeps, as owner and as successor.
	Keys int
	// KeptBody is the longest answer body, in bytes, that is kept for replay.
	KeptBody int
	// KeptTotal bounds the bytes of all kept bodies.
	KeptTotal int
	// KeyLifetime is how long after its issue a key may be used, for services
	// that View.Lifetimes does not name.
	KeyLifetime time.Duration
	// MaxSkew is how far ahead a caller's clock may be.
	MaxSkew time.Duration
	// LeaseTime is how long a promise to an owner holds.
	LeaseTime time.Duration
	// RunValidity is how long after the claim was sent a Run verdict may be used.
	RunValidity time.Duration
	// GiveUpAfter is how long an attempt waits for an owner that does not answer.
	GiveUpAfter time.Duration
	// RunGrace is how long after the deadline of an attempt its outcome is awaited.
	RunGrace time.Duration
	// MoveMargin is how long after the publication of a change of data centres
	// the former home of a key may still have let it run.
	MoveMargin time.Duration
	// ForgetAfter is how long a host that vanished without a planned stop counts
	// towards the majority. A partition inside a data centre must be shorter.
	ForgetAfter time.Duration
}

// The defaults of Limits.
const (
	DefaultKeys        = 200_000
	DefaultKeptBody    = 16 << 10 // bytes
	DefaultKeptTotal   = 32 << 20 // bytes
	DefaultKeyLifetime = 10 * time.Minute
	DefaultMaxSkew     = 10 * time.Second
	DefaultLeaseTime   = 2 * time.Second
	DefaultRunValidity = 5 * time.Second
	DefaultGiveUpAfter = 4 * time.Second
	DefaultRunGrace    = 2 * time.Second
	DefaultMoveMargin  = 20 * time.Second
	DefaultForgetAfter = 10 * time.Minute
)

func (l Limits) withDefaults() Limits {
	l.Keys = orDefault(l.Keys, DefaultKeys)
	l.KeptBody = orDefault(l.KeptBody, DefaultKeptBody)
	l.KeptTotal = orDefault(l.KeptTotal, DefaultKeptTotal)
	l.KeyLifetime = orDefault(l.KeyLifetime, DefaultKeyLifetime)
	l.MaxSkew = orDefault(l.MaxSkew, DefaultMaxSkew)
	l.LeaseTime = orDefault(l.LeaseTime, DefaultLeaseTime)
	l.RunValidity = orDefault(l.RunValidity, DefaultRunValidity)
	l.GiveUpAfter = orDefault(l.GiveUpAfter, DefaultGiveUpAfter)
	l.RunGrace = orDefault(l.RunGrace, DefaultRunGrace)
	l.MoveMargin = orDefault(l.MoveMargin, DefaultMoveMargin)
	l.ForgetAfter = orDefault(l.ForgetAfter, DefaultForgetAfter)
	return l
}

func orDefault[T int | float64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

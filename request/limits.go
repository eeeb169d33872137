package request

import "time"

// Limits configures a KeyTracker. Zero fields mean the defaults below.
type Limits struct {
	// MaxClaims is the maximum number of claims that a host stores, as owner and
	// as successor.
	MaxClaims int
	// MaxReplayBodyBytes is the maximum size of a response body that is stored
	// for replay.
	MaxReplayBodyBytes int
	// MaxReplayTotalBytes is the maximum total size of the stored bodies.
	MaxReplayTotalBytes int
	// KeyLifetime is how long after its issue a key may be used, for services
	// that are not in View.Lifetimes.
	KeyLifetime time.Duration
	// MaxSkew is the maximum time that a caller's clock may be ahead.
	MaxSkew time.Duration
	// LeaseDuration is how long a promise to an owner is valid.
	LeaseDuration time.Duration
	// RunValidity is how long after the claim a DecisionRun verdict may be used.
	RunValidity time.Duration
	// OwnerTimeout is how long an attempt waits for an unresponsive owner.
	OwnerTimeout time.Duration
	// ResultGracePeriod is how long after its deadline an attempt may still
	// report its result.
	ResultGracePeriod time.Duration
	// HomeChangeMargin is how long after the publication of a change of data
	// centres the former home of a key may still have let it run.
	HomeChangeMargin time.Duration
	// MemberExpiry is how long a host that disappeared without a planned stop
	// counts towards the majority. A network partition within a data centre must
	// be shorter.
	MemberExpiry time.Duration
}

// The defaults of Limits.
const (
	DefaultMaxClaims           = 200_000
	DefaultMaxReplayBodyBytes  = 16 << 10 // bytes
	DefaultMaxReplayTotalBytes = 32 << 20 // bytes
	DefaultKeyLifetime         = 10 * time.Minute
	DefaultMaxSkew             = 10 * time.Second
	DefaultLeaseDuration       = 2 * time.Second
	DefaultRunValidity         = 5 * time.Second
	DefaultOwnerTimeout        = 4 * time.Second
	DefaultResultGracePeriod   = 2 * time.Second
	DefaultHomeChangeMargin    = 20 * time.Second
	DefaultMemberExpiry        = 10 * time.Minute
)

func (l Limits) withDefaults() Limits {
	l.MaxClaims = orDefault(l.MaxClaims, DefaultMaxClaims)
	l.MaxReplayBodyBytes = orDefault(l.MaxReplayBodyBytes, DefaultMaxReplayBodyBytes)
	l.MaxReplayTotalBytes = orDefault(l.MaxReplayTotalBytes, DefaultMaxReplayTotalBytes)
	l.KeyLifetime = orDefault(l.KeyLifetime, DefaultKeyLifetime)
	l.MaxSkew = orDefault(l.MaxSkew, DefaultMaxSkew)
	l.LeaseDuration = orDefault(l.LeaseDuration, DefaultLeaseDuration)
	l.RunValidity = orDefault(l.RunValidity, DefaultRunValidity)
	l.OwnerTimeout = orDefault(l.OwnerTimeout, DefaultOwnerTimeout)
	l.ResultGracePeriod = orDefault(l.ResultGracePeriod, DefaultResultGracePeriod)
	l.HomeChangeMargin = orDefault(l.HomeChangeMargin, DefaultHomeChangeMargin)
	l.MemberExpiry = orDefault(l.MemberExpiry, DefaultMemberExpiry)
	return l
}

func orDefault[T int | float64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

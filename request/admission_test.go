package request_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/request"
)

func TestAdmissionIsFair(t *testing.T) {
	is := is.New(t)
	admission := request.Admission{MaxInFlight: 100}
	acquire := func(service fleet.ServiceName, limit, count int) (admitted int) {
		for range count {
			if _, _, ok := admission.Acquire(epoch, service, limit); ok {
				admitted++
			}
		}
		return admitted
	}
	is.Equal(acquire("maps", 0, 200), 100) // a single service may use the whole limit
	is.Equal(acquire("orders", 0, 200), 0) // no capacity left
	for range 60 {
		admission.Release("maps", time.Millisecond)
		acquire("maps", 0, 1)
		acquire("orders", 0, 1)
	}
	// With requests of another service waiting, the service above its share does
	// not regain the capacity that it releases.
	for range 60 {
		admission.Release("maps", time.Millisecond)
	}
	is.Equal(acquire("orders", 0, 200) >= 45, true)
	is.Equal(admission.InFlight() <= 100, true)
}

func TestAdmissionLimitsAndRetryAfter(t *testing.T) {
	is := is.New(t)
	var admission request.Admission
	_, _, ok := admission.Acquire(epoch, "orders", 1)
	is.True(ok)
	reason, retryAfter, ok := admission.Acquire(epoch, "orders", 1)
	is.True(!ok)
	is.Equal(reason, request.ReasonServiceFull)
	is.Equal(retryAfter, time.Second)
	for range 100 {
		admission.Release("orders", 5*time.Second)
		_, _, ok = admission.Acquire(epoch, "orders", 1)
		is.True(ok)
	}
	_, retryAfter, _ = admission.Acquire(epoch, "orders", 1)
	is.Equal(retryAfter, 5*time.Second)
}

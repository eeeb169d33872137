package request_test

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/request"
)

// keyIssued returns a key that was issued at the given time.
func keyIssued(at time.Time) request.Key {
	var id uuid.UUID
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6], id[8] = 0x70, 0x80
	return request.Key{ID: id}
}

// TestKeyLifetimeOfService checks that keys have the lifetime of their service,
// and that raising it never lets a key run whose claim may have been dropped
// under the shorter lifetime.
func TestKeyLifetimeOfService(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var keys request.KeyTracker
	view := request.View{
		Self: "a1", DataCentre: "tp1", Confirmed: true,
		Hosts:       []fleet.Host{{ID: "a1", DataCentre: "tp1", Incarnation: 1}},
		DataCentres: []config.DataCentre{{Name: "tp1", State: config.StateIn}},
		Lifetimes:   map[fleet.ServiceName]time.Duration{"orders": time.Minute},
	}
	keys.Install(now, view)
	run := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
			keys.Tick(now)
		}
	}
	decide := func(age time.Duration) (request.Decision, request.Reason) {
		_, e := keys.Claim(now, request.ClaimRequest{
			Key: keyIssued(now.Add(-age)), Service: "orders", Deadline: now.Add(time.Second),
		})
		is.Equal(len(e.Verdicts), 1)
		return e.Verdicts[0].Decision, e.Verdicts[0].Reason
	}
	run(5 * time.Minute)
	decision, _ := decide(30 * time.Second)
	is.Equal(decision, request.DecisionRun)
	decision, reason := decide(2 * time.Minute)
	is.Equal(decision, request.DecisionUnknown)
	is.Equal(reason, request.ReasonKeyExpired)

	view.Lifetimes = map[fleet.ServiceName]time.Duration{"orders": 10 * time.Minute}
	keys.Install(now, view)
	run(time.Second)
	decision, reason = decide(2 * time.Minute)
	is.Equal(decision, request.DecisionUnknown)
	is.Equal(reason, request.ReasonHistoryLost)
	run(3 * time.Minute)
	decision, _ = decide(2 * time.Minute)
	is.Equal(decision, request.DecisionRun)
}

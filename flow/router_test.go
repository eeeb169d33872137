package flow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/flow"
)

func TestZeroRouterDropsPackets(t *testing.T) {
	is := is.New(t)
	var r flow.Router
	is.Equal(r.Decide(time.Time{}, &flow.Input{}).Reason, flow.ReasonNotReady)
	is.True(!r.Ready())
}

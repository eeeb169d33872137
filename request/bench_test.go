package request_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/rattanthread/rattanthread/request"
)

// BenchmarkClaim runs requests with keys in a data centre of three hosts: claim,
// copy, verdict and report. It reports the message bytes of all hosts per
// request, and the memory per stored claim.
func BenchmarkClaim(b *testing.B) {
	c := newCluster(1, 1, 3)
	sent := 0
	var deliver func(from *node, e request.Effects)
	deliver = func(from *node, e request.Effects) {
		for _, s := range e.Sends {
			data, err := cbor.Marshal(s.Message)
			if err != nil {
				b.Fatal(err)
			}
			sent += len(data)
			to := c.node(s.To)
			deliver(to, to.keys.Receive(c.now, from.id, s.Message))
		}
		for _, v := range e.Verdicts {
			if v.Decision != request.DecisionRun {
				b.Fatal(v.Decision, v.Reason)
			}
			answer := request.Answer{Status: 200, ContentType: "text/plain", Body: make([]byte, 100), BodyKept: true}
			deliver(from, from.keys.Report(c.now, v.Attempt, request.Result{Outcome: request.Answered, Answer: answer}))
		}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := 0; b.Loop(); i++ {
		n := c.nodes[i%3]
		_, e := n.keys.Claim(c.now, request.ClaimRequest{Key: c.newKey(0), Service: "orders", Deadline: c.now.Add(time.Second)})
		deliver(n, e)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(sent)/float64(b.N), "message-B/op")
	// Each claim is stored by its owner and its successor.
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(2*b.N), "kept-B/claim")
	runtime.KeepAlive(c)
}

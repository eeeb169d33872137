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
	cluster := newCluster(1, 1, 3)
	sent := 0
	var deliver func(from *node, effects request.Effects)
	deliver = func(from *node, effects request.Effects) {
		for _, send := range effects.Sends {
			data, err := cbor.Marshal(send.Message)
			if err != nil {
				b.Fatal(err)
			}
			sent += len(data)
			to := cluster.node(send.To)
			deliver(to, to.keys.Receive(cluster.now, from.id, send.Message))
		}
		for _, verdict := range effects.Verdicts {
			if verdict.Decision != request.DecisionRun {
				b.Fatal(verdict.Decision, verdict.Reason)
			}
			answer := request.Answer{Status: 200, ContentType: "text/plain", Body: make([]byte, 100), BodyKept: true}
			deliver(from, from.keys.Report(cluster.now, verdict.Attempt, request.Result{Outcome: request.Answered, Answer: answer}))
		}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := 0; b.Loop(); i++ {
		entry := cluster.nodes[i%3]
		_, effects := entry.keys.Claim(cluster.now, request.ClaimRequest{Key: cluster.newKey(0), Service: "orders", Deadline: cluster.now.Add(time.Second)})
		deliver(entry, effects)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(sent)/float64(b.N), "message-B/op")
	// Each claim is stored by its owner and its successor.
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(2*b.N), "kept-B/claim")
	runtime.KeepAlive(cluster)
}

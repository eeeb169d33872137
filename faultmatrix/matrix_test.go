package faultmatrix_test

import (
	"testing"

	"github.com/rattanthread/rattanthread/faultmatrix"
)

func BenchmarkCell(b *testing.B) {
	for range b.N {
		r := faultmatrix.Cell{Seed: 1, Procedure: "flow_opening", Fault: "none"}.Run(faultmatrix.Mutant{})
		b.Logf("%d opened, %d requests, %d answered", r.Opened, r.Requests, r.Answered)
	}
}

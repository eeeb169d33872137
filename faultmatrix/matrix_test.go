package faultmatrix_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/faultmatrix"
)

// A cell gives the same messages and the same result in every run, so that a red
// cell can be reproduced.
func TestCellIsDeterministic(t *testing.T) {
	for _, cell := range []faultmatrix.Cell{
		{Seed: 1, Procedure: "drain", Fault: "host_dies_and_returns"},
		{Seed: 2, Procedure: "replacement", Fault: "messages_lost"},
		{Seed: 3, Procedure: "centre_out_and_in", Fault: "centres_cut_off", Second: "two_hosts_die"},
	} {
		t.Run(cell.Procedure, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			is.Equal(cell.Run(faultmatrix.Mutant{}), cell.Run(faultmatrix.Mutant{}))
		})
	}
}

func BenchmarkCell(b *testing.B) {
	for range b.N {
		r := faultmatrix.Cell{Seed: 1, Procedure: "flow_opening", Fault: "none"}.Run(faultmatrix.Mutant{})
		b.Logf("%d opened, %d requests, %d answered", r.Opened, r.Requests, r.Answered)
	}
}

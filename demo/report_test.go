package demo_test

import (
	"encoding/json"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/demo"
	"github.com/rattanthread/rattanthread/standin"
)

func addrPort(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }

func TestCompare(t *testing.T) {
	tests := []struct {
		name        string
		work        []float64
		max, stdDev float64
	}{
		{"none", nil, 0, 0},
		{"idle", []float64{0, 0}, 0, 0},
		{"even", []float64{5, 5, 5}, 1, 0},
		{"uneven", []float64{2, 4, 6, 8}, 1.6, 0.4472},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			row := demo.NewImbalanceRow(tt.work)
			is.Equal(row.Servers, len(tt.work))
			is.Equal(row.MaxOverMean, tt.max)
			is.True(row.StdDevOverMean > tt.stdDev-0.001 && row.StdDevOverMean < tt.stdDev+0.001)
		})
	}
}

func TestReportTells(t *testing.T) {
	is := is.New(t)
	report := demo.Report{
		Seed:        7,
		BrokenFlows: []demo.BrokenRow{{Service: "hunt", Phase: demo.PhaseDrain, Cause: standin.BreakReset, Count: 3}},
		Faults:      []demo.Fault{{Rule: demo.RuleFlowSurvives, Count: 3, Detail: "hunt"}},
		Publications: []demo.PublicationRow{
			{Revision: 4, Change: "drain"},
		},
	}
	var table strings.Builder
	is.NoErr(report.WriteTable(&table))
	for _, want := range []string{"seed 7", "none (fault)", "not by the end", "established_flow_survives_planned_change", "not measured"} {
		is.True(strings.Contains(table.String(), want))
	}
	data, err := json.Marshal(report)
	is.NoErr(err)
	is.True(strings.Contains(string(data), `"passed":false`))
	is.True(strings.Contains(string(data), `"faults":[{"rule":"established_flow_survives_planned_change","count":3,"detail":"hunt"}]`))
}

package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// WriteTable writes the report as human-readable tables.
func (r Report) WriteTable(out io.Writer) error {
	t := &table{tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
	t.line("trial\tseed %d\t%.0f s", r.Seed, float64(r.Duration))
	r.writePhases(t)
	r.writeFlows(t)
	r.writeRequests(t)
	r.writeReasons(t)
	r.writeServers(t)
	r.writeSeconds(t)
	r.writeFaults(t)
	return t.Flush()
}

type table struct {
	*tabwriter.Writer
}

func (t *table) line(format string, args ...any) {
	_, _ = fmt.Fprintf(t, format+"\n", args...)
}

func (r Report) writePhases(t *table) {
	t.line("\nphase\tstart s\ttarget")
	for _, p := range r.Phases {
		t.line("%s\t%.1f\t%s", p.Phase, float64(p.Start), p.Target)
	}
	t.line("\nconfiguration\tin force after s\tchange")
	for _, p := range r.Publications {
		inForce := "not by the end"
		if p.Complete {
			inForce = fmt.Sprintf("%.2f", float64(p.InForce))
		}
		t.line("revision %d\t%s\t%s", p.Revision, inForce, p.Change)
	}
}

func (r Report) writeFlows(t *table) {
	t.line("\nflows\topened\tnot opened\testablished\tmessages\tresent\tbroken\tserver resets\tmedian ms\tp99 ms")
	for _, f := range r.Flows {
		t.line("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f", f.Service, f.Opened, f.NotOpened, f.Established,
			f.Messages, f.Resent, f.Broken, f.ServerResets, float64(f.Median), float64(f.P99))
	}
	t.line("\nbroken flows\tphase\tcause\tcount\texcuse")
	for _, b := range r.BrokenFlows {
		excuse := string(b.Excuse)
		if excuse == "" {
			excuse = "none (fault)"
		}
		t.line("%s\t%s\t%s\t%d\t%s", b.Service, b.Phase, b.Cause, b.Count, excuse)
	}
	if len(r.BrokenFlows) == 0 {
		t.line("none\t\t\t0\t")
	}
}

func (r Report) writeRequests(t *table) {
	t.line("\nrequests\tsent\tanswered\trefused\tunknown\tattempts\tnot connected\ttimed out\tcut\trun twice\trefused but run\tmedian ms\tp99 ms")
	for _, q := range r.Requests {
		t.line("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f", q.Service, q.Sent, q.Answered, q.Refused,
			q.Unknown, q.Attempts, q.NotConnected, q.TimedOut, q.Disconnected, q.RunTwice, q.RefusedButRun,
			float64(q.Median), float64(q.P99))
	}
}

func (r Report) writeReasons(t *table) {
	t.line("\nattempts not answered\toutcome/reason\tcount")
	for _, q := range r.Requests {
		for _, reason := range slices.Sorted(maps.Keys(q.Reasons)) {
			t.line("%s\t%s\t%d", q.Service, reason, q.Reasons[reason])
		}
	}
}

func (r Report) writeServers(t *table) {
	t.line("\nimbalance\tservers\tmean\tunit\tmax/mean\tstddev/mean")
	for _, i := range r.Imbalance {
		t.line("%s\t%d\t%.1f\t%s\t%.2f\t%.2f", i.Service, i.Servers, i.Mean, i.Unit, i.MaxOverMean, i.StdDevOverMean)
	}
	t.line("\ncold servers\tarrivals while cold\tover the bound\tpeak/bound\tfell over")
	for _, c := range r.ColdServers {
		t.line("%s\t%d\t%d\t%.2f\t%d", c.Server, c.ColdArrivals, c.OverBound, c.PeakRatio, c.Crashes)
	}
	t.line("\ncontrol\tbytes/s sent")
	for _, c := range r.ControlBytes {
		t.line("%s\t%.0f", c.Host, c.BytesPerSecond)
	}
	if len(r.ControlBytes) == 0 {
		t.line("not measured\t")
	}
}

func (r Report) writeSeconds(t *table) {
	t.line("\nsecond\tphase\tanswered\trefused\tunknown\tflow messages\tflows opened\tflows broken")
	for _, s := range r.Seconds {
		t.line("%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d", s.Second, s.Phase, s.Answered, s.Refused, s.Unknown,
			s.FlowMessages, s.FlowsOpened, s.FlowsBroken)
	}
}

func (r Report) writeFaults(t *table) {
	if r.Passed {
		t.line("\nall rules held")
		return
	}
	t.line("\nfault\tcount\tdetail")
	for _, f := range r.Faults {
		t.line("%s\t%d\t%s", f.Rule, f.Count, f.Detail)
	}
}

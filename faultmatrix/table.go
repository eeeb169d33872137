package faultmatrix

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// Verdict classifies a result.
type Verdict string

// The verdicts.
const (
	VerdictHeld    Verdict = "held"    // no violations and no losses
	VerdictAllowed Verdict = "allowed" // there were only losses that the guarantees allow
	VerdictRed     Verdict = "red"     // a guarantee was violated
)

// Verdict returns the verdict on the result.
func (r Result) Verdict() Verdict {
	switch {
	case len(r.Violations) > 0:
		return VerdictRed
	case len(r.Allowed) > 0:
		return VerdictAllowed
	default:
		return VerdictHeld
	}
}

// WriteTable prints one row for each fault and one column for each procedure, with
// the number of cells that held, had allowed losses or were red. It then prints the
// reasons for allowed losses and the first violation of each red cell.
func WriteTable(out io.Writer, results []Result) error {
	if err := writeCounts(out, results); err != nil {
		return err
	}
	if err := writeReasons(out, results); err != nil {
		return err
	}
	return writeViolations(out, results)
}

type countKey struct{ procedure, fault string }

func writeCounts(out io.Writer, results []Result) error {
	counts := make(map[countKey]map[Verdict]int)
	var procedures, faults []string
	for _, r := range results {
		key := countKey{r.Cell.Procedure, r.Cell.Fault}
		if counts[key] == nil {
			counts[key] = make(map[Verdict]int)
		}
		counts[key][r.Verdict()]++
		procedures = appendUnique(procedures, key.procedure)
		faults = appendUnique(faults, key.fault)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "held/allowed/red\t"+strings.Join(procedures, "\t"))
	for _, fault := range faults {
		row := []string{fault}
		for _, procedure := range procedures {
			c := counts[countKey{procedure, fault}]
			row = append(row, fmt.Sprintf("%d/%d/%d", c[VerdictHeld], c[VerdictAllowed], c[VerdictRed]))
		}
		_, _ = fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return table.Flush()
}

func appendUnique(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}

func writeReasons(out io.Writer, results []Result) error {
	reasons := make(map[string]int)
	for _, r := range results {
		for _, reason := range r.Allowed {
			reasons[reason]++
		}
	}
	if _, err := fmt.Fprintln(out, "\nallowed losses, with the number of cells:"); err != nil {
		return err
	}
	sorted := make([]string, 0, len(reasons))
	for reason := range reasons {
		sorted = append(sorted, reason)
	}
	slices.Sort(sorted)
	for _, reason := range sorted {
		if _, err := fmt.Fprintf(out, "  %5d  %s\n", reasons[reason], reason); err != nil {
			return err
		}
	}
	return nil
}

// writeViolations prints the first violation of each red cell.
func writeViolations(out io.Writer, results []Result) error {
	red := 0
	for _, r := range results {
		if r.Verdict() != VerdictRed {
			continue
		}
		red++
		v := r.Violations[0]
		_, err := fmt.Fprintf(out, "red: %s + %s at %s %s, seed %d: %s at %s: %s (%d in all)\n",
			r.Cell.Procedure, r.Cell.Fault, r.Cell.Step, describeSecondFault(r.Cell), r.Cell.Seed,
			v.Guarantee, v.At, v.Detail, len(r.Violations))
		if err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "\n%d cells, %d red\n", len(results), red)
	return err
}

func describeSecondFault(c Cell) string {
	if c.Second == "" {
		return ""
	}
	return "+ " + c.Second + " " + c.SecondAfter.String() + " later"
}

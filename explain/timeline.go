package explain

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// contextWindow is how long before and after the flow's own lines other lines are
// included.
const contextWindow = 5 * time.Second

// hostWideKinds are the kinds of lines that concern all flows of a host.
var hostWideKinds = []string{
	"start", "ready", "stopping", "reloaded", "store_lost", "store_regained", "history_gone",
	"configuration_in_force", "data_centre_out", "data_centre_in", "upstream_chosen", "upstream_lost", "upstream_left", "lines_omitted",
	"spillover_started", "spillover_ended", "admission_started", "admission_ended",
}

// Timeline returns the lines that concern a flow, ordered by time: its own, those about
// the servers that it was sent to, and host-wide ones of the hosts that decided on it.
// It is empty if no line names the flow.
func Timeline(lines []Line, flow string) []Line {
	var flowLines []Line
	servers, hosts := make(map[string]bool), make(map[string]bool)
	for _, line := range lines {
		if line.Fields["flow"] != flow {
			continue
		}
		flowLines = append(flowLines, line)
		hosts[line.Host] = true
		if server := line.Fields["server"]; server != "" {
			servers[server] = true
		}
	}
	if len(flowLines) == 0 {
		return nil
	}
	sortByTime(flowLines)
	first, last := flowLines[0].Time.Add(-contextWindow), flowLines[len(flowLines)-1].Time.Add(contextWindow)
	timeline := flowLines
	for _, line := range lines {
		if line.Fields["flow"] == flow || line.Time.Before(first) || line.Time.After(last) || !hosts[line.Host] {
			continue
		}
		concernsServer := line.Fields["flow"] == "" && (servers[line.Fields["server"]] || servers[line.Fields["name"]])
		if concernsServer || slices.Contains(hostWideKinds, line.Kind) {
			timeline = append(timeline, line)
		}
	}
	sortByTime(timeline)
	return timeline
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// Write writes the lines of a flow with the time since the first one that names it.
func Write(w io.Writer, timeline []Line, flow string) error {
	var firstTime time.Time
	for _, line := range timeline {
		if line.Fields["flow"] == flow {
			firstTime = line.Time
			break
		}
	}
	for _, line := range timeline {
		mark := " "
		if line.Fields["flow"] == flow {
			mark = "*"
		}
		_, err := fmt.Fprintf(w, "%s %+9.3f s  %-20s %-22s %s\n", mark, line.Time.Sub(firstTime).Seconds(), line.Host, line.Kind, line.Text)
		if err != nil {
			return err
		}
	}
	return nil
}

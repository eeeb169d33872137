package explain

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// around is how long before and after a flow's own lines others belong to its story.
const around = 5 * time.Second

// general are the kinds of lines that concern all flows of a host.
var general = []string{
	"start", "ready", "stopping", "reloaded", "store_lost", "store_regained", "history_gone",
	"configuration_in_force", "data_centre_out", "data_centre_in", "upstream_chosen", "upstream_lost", "lines_omitted",
}

// Story returns the lines that tell what became of a flow, in the order of time:
// its own, those about the servers that it was sent to, and those about the hosts
// that decided on it. It is empty if no line names the flow.
func Story(lines []Line, flow string) []Line {
	var own []Line
	servers, hosts := make(map[string]bool), make(map[string]bool)
	for _, line := range lines {
		if line.Fields["flow"] != flow {
			continue
		}
		own = append(own, line)
		hosts[line.Host] = true
		if server := line.Fields["server"]; server != "" {
			servers[server] = true
		}
	}
	if len(own) == 0 {
		return nil
	}
	sortByTime(own)
	first, last := own[0].Time.Add(-around), own[len(own)-1].Time.Add(around)
	story := own
	for _, line := range lines {
		if line.Fields["flow"] == flow || line.Time.Before(first) || line.Time.After(last) || !hosts[line.Host] {
			continue
		}
		about := line.Fields["flow"] == "" && (servers[line.Fields["server"]] || servers[line.Fields["name"]])
		if about || slices.Contains(general, line.Kind) {
			story = append(story, line)
		}
	}
	sortByTime(story)
	return story
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// Write writes a story with the time since its first line about the flow.
func Write(w io.Writer, story []Line, flow string) error {
	var start time.Time
	for _, line := range story {
		if line.Fields["flow"] == flow {
			start = line.Time
			break
		}
	}
	for _, line := range story {
		mark := " "
		if line.Fields["flow"] == flow {
			mark = "*"
		}
		_, err := fmt.Fprintf(w, "%s %+9.3f s  %-20s %-22s %s\n", mark, line.Time.Sub(start).Seconds(), line.Host, line.Kind, line.Text)
		if err != nil {
			return err
		}
	}
	return nil
}

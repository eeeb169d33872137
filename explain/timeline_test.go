package explain_test

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/explain"
)

const flow = "100.64.0.7:4001-198.18.0.1:443"

func TestStory(t *testing.T) {
	is := is.New(t)
	file, err := os.Open("testdata/hosts.log")
	is.NoErr(err)
	defer func() { _ = file.Close() }()
	lines, err := explain.Read("hosts.log", file)
	is.NoErr(err)
	is.Equal(len(lines), 8)

	timeline := explain.Timeline(lines, flow)
	var kinds []string
	for _, line := range timeline {
		is.Equal(line.Host, "front-a-1")
		kinds = append(kinds, line.Kind)
	}
	is.Equal(kinds, []string{"start", "placed", "server_probed", "flow_reset", "store_lost"})
	is.Equal(timeline[4].Fields["error"], "store: context deadline exceeded")

	var out strings.Builder
	is.NoErr(explain.Write(&out, timeline, flow))
	is.True(strings.Contains(out.String(), "*    +2.001 s  front-a-1            flow_reset"))
	is.Equal(len(explain.Timeline(lines, "1.2.3.4:5-6.7.8.9:10")), 0)
}

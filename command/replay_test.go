package command_test

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/command"
)

func TestReplay(t *testing.T) {
	const header = `{"version":1,"start":"2026-01-01T00:00:00Z","self":{"id":"a1","data_centre":"tp1"}}` + "\n"
	tests := []struct {
		name, trace, args string
		status            subcommands.ExitStatus
		out, stderr       string
	}{
		{"same outcome", header + `{"at":"0s","event":"tick","expect":{"ready":false}}`, "", subcommands.ExitSuccess, "1 events as expected", ""},
		{"different outcome", header + `{"at":"0s","event":"tick","expect":{"ready":true}}`, "", subcommands.ExitFailure, "", ":2: event tick at 0s: ready: want true, have false"},
		{"unknown event", header + `{"at":"0s","event":"tock"}`, "", subcommands.ExitUsageError, "", `:2: unknown event "tock"`},
		{"state", header + `{"at":"0s","event":"tick"}`, "-state", subcommands.ExitSuccess, `"ready":false`, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "trace.jsonl")
			is.NoErr(os.WriteFile(path, []byte(tt.trace), 0o600))
			var out, stderr strings.Builder
			c := &command.Replay{Environment: command.Environment{Out: &out, Err: &stderr}}
			f := flag.NewFlagSet("replay", flag.ContinueOnError)
			c.SetFlags(f)
			is.NoErr(f.Parse(append(strings.Fields(tt.args), path)))
			is.Equal(c.Execute(context.Background(), f), tt.status)
			is.True(strings.Contains(out.String(), tt.out))
			is.True(strings.Contains(stderr.String(), tt.stderr))
		})
	}
}

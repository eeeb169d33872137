package command_test

import (
	"context"
	"flag"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"
	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/command"
	"github.com/rattanthread/rattanthread/trial"
)

func TestTry(t *testing.T) {
	violated := trial.Report{Faults: []trial.Fault{{Rule: trial.RuleAtMostOnce, Count: 1}}}
	tests := []struct {
		name   string
		args   string
		report trial.Report
		err    error
		status subcommands.ExitStatus
		out    string
		stderr string
	}{
		{"passed", "", trial.Report{Passed: true}, nil, subcommands.ExitSuccess, "all rules held", ""},
		{"violated rule", "", violated, nil, subcommands.ExitFailure, "request_runs_at_most_once", ""},
		{"json", "-json -seed 9", violated, nil, subcommands.ExitFailure, `"seed": 9`, ""},
		{"hold", "-hold", trial.Report{Passed: true}, nil, subcommands.ExitSuccess, "all rules", "nc -u 127.0.0.1 9"},
		{"argument", "x", trial.Report{}, nil, subcommands.ExitUsageError, "", `got ["x"]`},
		{"cannot run", "", trial.Report{}, errors.New("port taken"), subcommands.ExitUsageError, "", "port taken"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var out, stderr strings.Builder
			c := &command.Try{Out: &out, Err: &stderr}
			c.Run = func(ctx context.Context, tr *trial.Trial) (trial.Report, error) {
				tt.report.Seed = tr.Seed
				if tr.Hold != nil {
					ctx, cancel := context.WithCancel(ctx)
					cancel() // as an interrupt does
					tr.Hold(ctx, tt.report, trial.Addresses{
						Gateway:      "127.0.0.1:9",
						Hosts:        []trial.HostAddresses{{Host: "a"}},
						RequestHosts: []string{"maps.example"},
					})
				}
				return tt.report, tt.err
			}
			f := flag.NewFlagSet("try", flag.ContinueOnError)
			c.SetFlags(f)
			is.NoErr(f.Parse(strings.Fields(tt.args)))
			is.Equal(c.Execute(context.Background(), f), tt.status)
			is.True(strings.Contains(out.String(), tt.out))
			is.True(strings.Contains(stderr.String(), tt.stderr))
		})
	}
}

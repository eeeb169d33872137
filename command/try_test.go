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
	"github.com/rattanthread/rattanthread/demo"
)

func TestTry(t *testing.T) {
	violated := demo.Report{Faults: []demo.Fault{{Rule: demo.RuleAtMostOnce, Count: 1}}}
	tests := []struct {
		name   string
		args   string
		report demo.Report
		err    error
		status subcommands.ExitStatus
		out    string
		stderr string
	}{
		{"passed", "", demo.Report{Passed: true}, nil, subcommands.ExitSuccess, "all rules held", ""},
		{"violated rule", "", violated, nil, subcommands.ExitFailure, "request_runs_at_most_once", ""},
		{"json", "-json -seed 9", violated, nil, subcommands.ExitFailure, `"seed": 9`, ""},
		{"hold", "-hold", demo.Report{Passed: true}, nil, subcommands.ExitSuccess, "all rules", "nc -u 127.0.0.1 9"},
		{"argument", "x", demo.Report{}, nil, subcommands.ExitUsageError, "", `got ["x"]`},
		{"cannot run", "", demo.Report{}, errors.New("port taken"), subcommands.ExitUsageError, "", "port taken"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var out, stderr strings.Builder
			c := &command.Try{Out: &out, Err: &stderr}
			c.Run = func(ctx context.Context, d *demo.Demo) (demo.Report, error) {
				tt.report.Seed = d.Seed
				if d.Hold != nil {
					ctx, cancel := context.WithCancel(ctx)
					cancel() // as an interrupt does
					d.Hold(ctx, tt.report, demo.Addresses{
						Gateway:      "127.0.0.1:9",
						Hosts:        []demo.HostAddresses{{Host: "a"}},
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

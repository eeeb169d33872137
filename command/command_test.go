package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/subcommands"
	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/command"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/registry"
	"github.com/rattanthread/rattanthread/registrystandin"
	"github.com/rattanthread/rattanthread/status"
)

const example = "../examples/configuration"

// testPlatform runs commands against a stand-in for the platform, without sockets.
type testPlatform struct {
	server registrystandin.Server
	// beforeHeadWrite, if set, is called once, before the next write of the head.
	beforeHeadWrite func()
}

// RoundTrip calls the stand-in. It calls beforeHeadWrite between a command's read of
// the head and its write.
func (p *testPlatform) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodPut && strings.HasSuffix(r.URL.Path, "/head") && p.beforeHeadWrite != nil {
		hook := p.beforeHeadWrite
		p.beforeHeadWrite = nil
		hook()
	}
	return p.server.HTTPClient().Transport.RoundTrip(r)
}

func (p *testPlatform) client() *registry.Client {
	return &registry.Client{URL: "http://platform.test", HTTP: &http.Client{Transport: p}}
}

// run executes a command line and returns its output and exit status.
func (p *testPlatform) run(t *testing.T, args ...string) (string, subcommands.ExitStatus) {
	t.Helper()
	var out bytes.Buffer
	env := command.Environment{Out: &out, Err: &out, Connect: func(string) *registry.Client { return p.client() }}
	commands := map[string]subcommands.Command{
		"check":    &command.Check{Environment: env},
		"publish":  &command.Publish{Environment: env},
		"rollback": &command.Rollback{Environment: env},
		"out":      &command.Out{Environment: env},
		"in":       &command.In{Environment: env},
		"drain":    &command.Drain{Environment: env},
		"status":   &command.Status{Environment: env},
		"platform": &command.Platform{Environment: env},
	}
	c := commands[args[0]]
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	c.SetFlags(flags)
	if err := flags.Parse(args[1:]); err != nil {
		return err.Error(), subcommands.ExitUsageError
	}
	exit := c.Execute(t.Context(), flags)
	return out.String(), exit
}

func TestCommands(t *testing.T) {
	steps := []struct {
		line string
		exit subcommands.ExitStatus
		want string // part of the output
	}{
		{"check " + example, 0, "16 servers, 1 rules: no problems"},
		{"check -json " + example, 0, "[]"},
		{"check -json ../config/testdata/bad/syntax.toml", 2, `"line":3`},
		{"check ../config/testdata/bad", 2, "../config/testdata/bad/syntax.toml:3: "},
		{"check", 2, "want files"},
		{"check absent", 2, "absent"},
		{"publish -dry-run " + example, 0, "23 changes to revision 0"},
		{"out tp2", 2, `no data centre "tp2"`},
		{"publish -message first " + example, 0, "published revision 1"},
		{"publish " + example, 0, "nothing to publish"},
		{"out tp2", 0, "~ data_centre tp2: state in -> out\npublished revision 2"},
		{"out tp2", 0, "nothing to do"},
		{"publish " + example, 0, "nothing to publish: revision 2"},                    // files without a state don't bring tp2 back
		{"publish -dry-run testdata/lighter", 0, "~ data_centre tp2: state out -> in"}, // files with a state do
		{"out tp1", 1, "no backend server can serve it"},
		{"out", 2, "want one data centre"},
		{"drain hints-tp1-1", 0, "drain false -> true\npublished revision 3"},
		{"drain hints-tp1-2", 1, "is refused"},
		{"drain -undo hints-tp1-1", 0, "published revision 4"},
		{"drain nothing", 2, `no server "nothing"`},
		{"rollback 1", 0, "nothing to do"}, // tp2 stays out
		{"rollback -states 1", 0, "~ data_centre tp2: state out -> in\npublished revision 5"},
		{"rollback 77", 2, "there is no revision 77"},
		{"rollback x", 2, "not a revision"},
		{"publish -base 3 " + example, 1, "~ data_centre tp2: state out -> in\n~ server hints-tp1-1: drain true -> false\n"},
		{"publish -base 9 " + example, 2, "never published"},
		{"publish -publication X " + example, 2, "bad publication id"},
		{"in tp2", 0, "nothing to do"},
		{"status extra", 2, "want no arguments"},
		{"status -hosts here", 2, "not an address"},
		{"status", 1, "latest revision: 5\n\nno entry host is registered"},
		{"platform extra", 2, "want no arguments"},
	}
	var platform testPlatform
	for _, step := range steps {
		out, exit := platform.run(t, strings.Fields(step.line)...)
		if exit != step.exit || !strings.Contains(out, step.want) {
			t.Fatalf("%s: exit %d, want %d with %q in:\n%s", step.line, exit, step.exit, step.want, out)
		}
	}
}

// Two operators change the configuration concurrently. An edit is retried unless both
// change the same object; a publication of files is not retried.
func TestRacingCommands(t *testing.T) {
	tests := map[string]struct {
		line, other string
		exit        subcommands.ExitStatus
		want        string
	}{
		"another object":  {"drain hints-tp1-1", "drain maps-tp1-1", 0, "published revision 3"},
		"the same object": {"drain hints-tp1-1", "publish testdata/lighter", 1, "~ server hints-tp1-1: weight 100 -> 10"},
		"publish":         {"publish testdata/lighter", "drain maps-tp1-1", 1, "~ server maps-tp1-1: drain false -> true"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var platform testPlatform
			_, exit := platform.run(t, "publish", example)
			is.Equal(exit, subcommands.ExitSuccess)
			platform.beforeHeadWrite = func() {
				_, exit := platform.run(t, strings.Fields(test.other)...)
				is.Equal(exit, subcommands.ExitSuccess)
			}
			out, exit := platform.run(t, strings.Fields(test.line)...)
			is.Equal(exit, test.exit)
			is.True(strings.Contains(out, test.want)) // shows the change of the other operator
			head, err := platform.client().Head(t.Context())
			is.NoErr(err)
			wantRevision := fleet.Revision(2)
			if test.exit == subcommands.ExitSuccess {
				wantRevision = 3
			}
			is.Equal(head.Revision, wantRevision) // nothing was overwritten
		})
	}
}

// If the platform does not respond, the command prints how to repeat it without
// publishing twice.
func TestUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var platform testPlatform
		platform.beforeHeadWrite = func() { platform.server.SetFaults(registrystandin.Faults{Down: true}) }
		out, exit := platform.run(t, "publish", example)
		is.Equal(exit, subcommands.ExitFailure)
		_, id, found := strings.Cut(out, "-publication ")
		is.True(found)
		id, _, _ = strings.Cut(id, ":")
		platform.server.SetFaults(registrystandin.Faults{})
		for range 2 {
			out, exit = platform.run(t, "publish", "-publication", id, example)
			is.Equal(exit, subcommands.ExitSuccess)
			is.True(strings.Contains(out, "published revision 1"))
		}
		synctest.Wait()
	})
}

func TestStatusNamesStragglers(t *testing.T) {
	is := is.New(t)
	var platform testPlatform
	_, exit := platform.run(t, "publish", example)
	is.Equal(exit, subcommands.ExitSuccess)
	_, exit = platform.run(t, "drain", "hints-tp1-1")
	is.Equal(exit, subcommands.ExitSuccess)
	head, err := platform.client().Head(t.Context())
	is.NoErr(err)
	statuses := map[fleet.HostID]status.Host{
		"a1": {Ready: true, History: head.History, Revision: 2, Peers: []status.Peer{{Host: "a2", State: "live"}}},
		"a2": {Ready: true, History: head.History, Revision: 1},
		"a3": {Ready: true, History: "another", Revision: 2},
		"a4": {Ready: false, Reason: "no peer", History: head.History, Revision: 2},
		"a5": {},
	}
	var admins []string
	for id, host := range statuses {
		host.Host = id
		admins = append(admins, platform.addHost(t, host))
	}
	is.NoErr(platform.client().Register(t.Context(), fleet.Host{ID: "a6"}, time.Minute)) // no admin address

	out, exit := platform.run(t, "status")
	is.Equal(exit, subcommands.ExitFailure)
	is.True(strings.Contains(out, "stragglers: a2, a3, a4, a5, a6"))
	is.True(strings.Contains(out, "1 live"))

	platform.server.SetFaults(registrystandin.Faults{Down: true})
	out, exit = platform.run(t, "status", "-json", "-hosts", strings.Join(admins, ","))
	is.Equal(exit, subcommands.ExitFailure)
	var report command.Report
	is.NoErr(json.Unmarshal([]byte(out), &report))
	is.Equal(report.Revision, fleet.Revision(2)) // the highest that a host has
	is.True(report.Platform != "")
	_, exit = platform.run(t, "status")
	is.Equal(exit, subcommands.ExitFailure)
}

// addHost serves the status of an entry host, registers the host and returns its
// admin address.
func (p *testPlatform) addHost(t *testing.T, host status.Host) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(host)
	}))
	t.Cleanup(server.Close)
	admin := netip.MustParseAddrPort(server.Listener.Addr().String())
	object := registry.HostObject{Host: fleet.Host{ID: host.Host}, Admin: admin, State: registry.HostLive}
	if err := p.client().RegisterObject(t.Context(), object, time.Minute); err != nil {
		t.Fatal(err)
	}
	return admin.String()
}

func TestPlatformServesUntilStopped(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(t.Context())
	var out bytes.Buffer
	c := command.Platform{Environment: command.Environment{Out: &out, Err: &out}, Listen: "127.0.0.1:0"}
	c.Listening = func(address net.Addr) {
		defer stop()
		other := command.Platform{Environment: c.Environment, Listen: address.String()}
		is.Equal(other.Execute(t.Context(), flag.NewFlagSet("platform", flag.ContinueOnError)), subcommands.ExitFailure)
		is.True(strings.Contains(out.String(), "address already in use"))
	}
	is.Equal(c.Execute(ctx, flag.NewFlagSet("platform", flag.ContinueOnError)), subcommands.ExitSuccess)
}

func TestEveryCommandHasHelp(t *testing.T) {
	is := is.New(t)
	for _, c := range command.All() {
		is.True(strings.HasPrefix(c.Usage(), c.Name()))
		is.True(c.Synopsis() != "")
	}
}

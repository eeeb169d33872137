package entry_test

import (
	"context"
	"flag"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/entry"
)

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func testSettings(t *testing.T) entry.Settings {
	t.Helper()
	s, err := entry.LoadSettings(goodFile)
	if err != nil {
		t.Fatal(err)
	}
	s.Listen.Packets, s.Listen.Readiness = freeAddress(t), freeAddress(t)
	s.Listen.Peers, s.Listen.Metrics = freeAddress(t), freeAddress(t)
	s.Store.Address = freeAddress(t)
	return s
}

func TestPortInUse(t *testing.T) {
	is := is.New(t)
	taken, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = taken.Close() }()
	s := testSettings(t)
	s.Listen.Peers = netip.MustParseAddrPort(taken.Addr().String())
	h := entry.Host{Settings: s, Logger: hclog.NewNullLogger()}
	err = h.Run(t.Context())
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "listen.peers")) // the key in the settings

	again, err := net.Listen("tcp4", s.Listen.Readiness.String())
	is.NoErr(err) // nothing was left half started
	_ = again.Close()
}

func TestCommandRefusesBadSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(path, []byte("host = 5\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name string
		args []string
		want string
	}{
		{"no settings", nil, "needs -settings"},
		{"no such file", []string{"-settings", "nowhere.toml"}, "nowhere.toml"},
		{"bad settings", []string{"-settings", path}, "bad.toml:1"},
		{"an argument too many", []string{"-settings", path, "more"}, "takes no other arguments"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			t.Setenv(entry.SettingsVariable, "")
			var errs strings.Builder
			c := entry.Command{Err: &errs}
			f := flag.NewFlagSet("entry", flag.ContinueOnError)
			c.SetFlags(f)
			is.NoErr(f.Parse(test.args))
			is.Equal(c.Execute(context.Background(), f), subcommands.ExitUsageError)
			is.True(strings.Contains(errs.String(), test.want)) // part of the message
		})
	}
}

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
	settings, err := entry.LoadSettings(validFile)
	if err != nil {
		t.Fatal(err)
	}
	settings.Listen.Packets, settings.Listen.Readiness = freeAddress(t), freeAddress(t)
	settings.Listen.Peers, settings.Listen.Metrics = freeAddress(t), freeAddress(t)
	settings.Store.Address = freeAddress(t)
	return settings
}

func TestPortInUse(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	settings := testSettings(t)
	settings.Listen.Peers = netip.MustParseAddrPort(listener.Addr().String())
	host := entry.Host{Settings: settings, Logger: hclog.NewNullLogger()}
	err = host.Run(t.Context())
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "listen.peers")) // the key of the address

	again, err := net.Listen("tcp4", settings.Listen.Readiness.String())
	is.NoErr(err) // all sockets were closed
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
		{"extra argument", []string{"-settings", path, "more"}, "takes no other arguments"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			t.Setenv(entry.SettingsVariable, "")
			var stderr strings.Builder
			command := entry.Command{Err: &stderr}
			flags := flag.NewFlagSet("entry", flag.ContinueOnError)
			command.SetFlags(flags)
			is.NoErr(flags.Parse(test.args))
			is.Equal(command.Execute(context.Background(), flags), subcommands.ExitUsageError)
			is.True(strings.Contains(stderr.String(), test.want)) // the message names the fault
		})
	}
}

package command_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/command"
)

// TestSoakWithoutFolder guards against a crash of the soak if its folder does not exist and can't be created.
func TestSoakWithoutFolder(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "file")
	is.NoErr(os.WriteFile(file, nil, 0o600))
	var out bytes.Buffer
	soak := command.Soak{Environment: command.Environment{Out: &out, Err: &out}}
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	soak.SetFlags(flags)
	is.NoErr(flags.Parse([]string{"-length", "1s", "-folder", filepath.Join(file, "logs")}))
	is.Equal(soak.Execute(t.Context(), flags), subcommands.ExitUsageError)
	is.True(strings.Contains(out.String(), "not a directory"))
}

package entry_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/entry"
)

func TestChangedSettings(t *testing.T) {
	is := is.New(t)
	good, err := os.ReadFile(goodFile)
	is.NoErr(err)
	path := filepath.Join(t.TempDir(), "entry.toml")
	write := func(text string) { is.NoErr(os.WriteFile(path, []byte(text), 0o600)) }
	write(string(good))
	var log bytes.Buffer
	w := entry.NewWatcher(path, good, hclog.New(&hclog.LoggerOptions{Output: &log}))

	w.Look(t.Context())
	is.Equal(len(w.Changed()), 0) // nothing has changed

	write(strings.Replace(string(good), "127.0.0.1:8169", "127.0.0.9:8169", 1))
	w.Look(t.Context())
	s := <-w.Changed()
	is.Equal(s.Store.Address.String(), "127.0.0.9:8169")

	write("host = 5")
	w.Look(t.Context())
	is.Equal(len(w.Changed()), 0) // settings with a fault are not used
	is.True(strings.Contains(log.String(), "settings_refused"))
}

func TestUnreadableSettings(t *testing.T) {
	is := is.New(t)
	good, err := os.ReadFile(goodFile)
	is.NoErr(err)
	path := filepath.Join(t.TempDir(), "entry.toml")
	var log bytes.Buffer
	w := entry.NewWatcher(path, good, hclog.New(&hclog.LoggerOptions{Output: &log}))
	w.Look(t.Context())
	w.Look(t.Context())
	is.Equal(strings.Count(log.String(), "settings_unreadable"), 1) // reported once
	is.True(strings.Contains(log.String(), "entry.toml"))

	is.NoErr(os.WriteFile(path, good, 0o600))
	w.Look(t.Context())
	is.Equal(len(w.Changed()), 0) // the settings in force stay
	is.NoErr(os.Remove(path))
	w.Look(t.Context())
	is.Equal(strings.Count(log.String(), "settings_unreadable"), 2)
}

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
	good, err := os.ReadFile(validFile)
	is.NoErr(err)
	path := filepath.Join(t.TempDir(), "entry.toml")
	write := func(text string) { is.NoErr(os.WriteFile(path, []byte(text), 0o600)) }
	write(string(good))
	var log bytes.Buffer
	watcher := entry.NewWatcher(path, good, hclog.New(&hclog.LoggerOptions{Output: &log}))

	watcher.Check(t.Context())
	is.Equal(len(watcher.Changed()), 0) // the file is unchanged

	write(strings.Replace(string(good), "127.0.0.1:8169", "127.0.0.9:8169", 1))
	watcher.Check(t.Context())
	settings := <-watcher.Changed()
	is.Equal(settings.Store.Address.String(), "127.0.0.9:8169")

	write("host = 5")
	watcher.Check(t.Context())
	is.Equal(len(watcher.Changed()), 0) // invalid settings are ignored
	is.True(strings.Contains(log.String(), "settings_refused"))
}

func TestUnreadableSettings(t *testing.T) {
	is := is.New(t)
	good, err := os.ReadFile(validFile)
	is.NoErr(err)
	path := filepath.Join(t.TempDir(), "entry.toml")
	var log bytes.Buffer
	watcher := entry.NewWatcher(path, good, hclog.New(&hclog.LoggerOptions{Output: &log}))
	watcher.Check(t.Context())
	watcher.Check(t.Context())
	is.Equal(strings.Count(log.String(), "settings_unreadable"), 1) // logged once
	is.True(strings.Contains(log.String(), "entry.toml"))

	is.NoErr(os.WriteFile(path, good, 0o600))
	watcher.Check(t.Context())
	is.Equal(len(watcher.Changed()), 0) // the settings in force stay
	is.NoErr(os.Remove(path))
	watcher.Check(t.Context())
	is.Equal(strings.Count(log.String(), "settings_unreadable"), 2)
}

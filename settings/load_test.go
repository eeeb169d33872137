package settings_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/settings"
)

func TestExampleIsGood(t *testing.T) {
	is := is.New(t)
	s, err := settings.Load("../examples/settings/a1.toml")
	is.NoErr(err)
	is.Equal(string(s.Host), "a1")
	is.Equal(s.Peers.Heartbeat, 500*time.Millisecond) // a default
	is.Equal(len(s.Peers.Seeds), 1)
	is.NoErr(s.Validate())
}

func TestBadSettings(t *testing.T) {
	is := is.New(t)
	_, err := settings.Load("testdata/bad.toml")
	is.True(err != nil)
	want, readErr := os.ReadFile("testdata/bad.want")
	is.NoErr(readErr)
	is.Equal(err.Error(), strings.TrimSpace(string(want)))
	is.True(!strings.Contains(err.Error(), "5ec2e7")) // the key must not appear in errors
}

func TestAbsentSettings(t *testing.T) {
	is := is.New(t)
	_, err := settings.Load("testdata/absent.toml")
	is.True(strings.Contains(err.Error(), "absent.toml"))
	is.True(settings.Settings{}.Validate() != nil)
}

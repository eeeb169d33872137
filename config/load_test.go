package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/config"
)

// TestBadSets compares the problems of each invalid set with its .want file.
func TestBadSets(t *testing.T) {
	files, err := filepath.Glob("testdata/bad/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal("no invalid sets in testdata", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			_, err := config.LoadChecked(file)
			is.True(err != nil)
			got := strings.ReplaceAll(err.Error(), "testdata/bad/", "")
			want, err := os.ReadFile(strings.TrimSuffix(file, ".toml") + ".want")
			is.NoErr(err)
			is.Equal(got, strings.TrimSpace(string(want)))
		})
	}
}

func TestExampleIsGood(t *testing.T) {
	is := is.New(t)
	set, err := config.LoadChecked("../examples/configuration")
	is.NoErr(err)
	is.Equal(len(set.DataCentres), 2)
	is.Equal(len(set.Services), 4)
	is.Equal(len(set.Servers), 16)
	_, err = config.LoadChecked("../examples/configuration", "../examples/configuration/maps.toml")
	is.NoErr(err) // a file that is listed twice is read once
	fromFS, err := config.LoadFS(os.DirFS("../examples/configuration"))
	is.NoErr(err)
	is.Equal(fromFS.Normalised().Digest(), set.Digest())
}

func TestLoadFindsNothing(t *testing.T) {
	is := is.New(t)
	_, err := config.Load(t.TempDir())
	is.True(strings.Contains(err.Error(), "no .toml file"))
	_, err = config.Load("testdata/absent.toml")
	is.True(err != nil)
}

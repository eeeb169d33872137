package replay_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/entry"
	"github.com/rattanthread/rattanthread/replay"
)

func TestEntryTracesAreAsStated(t *testing.T) {
	is := is.New(t)
	paths, err := filepath.Glob("testdata/entry/*.jsonl")
	is.NoErr(err)
	is.True(len(paths) >= 3)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			is := is.New(t)
			file, err := os.Open(path)
			is.NoErr(err)
			defer func() { _ = file.Close() }()
			events, err := replay.RunEntry(path, file)
			is.NoErr(err)
			is.True(events > 500)
		})
	}
}

func TestDifferentOutcomeOfEntryTraceIsNamed(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("testdata/entry/crash_dark.jsonl")
	is.NoErr(err)
	changed := strings.Replace(string(data), "forward placed ", "reset no_server ", 1)
	line, err := replay.RunEntry("x.jsonl", strings.NewReader(changed))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "want \"reset no_server"))
	is.True(line > 1)
}

func TestMalformedEntryTraces(t *testing.T) {
	for _, text := range []string{"{", `{"at":"0s","unknown":1}`, `{"at":"0s","answer":{"source":7,"unknown":1}}`} {
		is := is.New(t)
		_, err := replay.RunEntry("x.jsonl", strings.NewReader(text))
		is.True(err != nil)
		is.True(strings.HasPrefix(err.Error(), "x.jsonl:1"))
	}
}

// TestUnconfirmedUpdate guards against a replay in which an update that may be seconds old counts
// as one that was confirmed long ago: the next update would find its servers out of date.
func TestUnconfirmedUpdate(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	var trace strings.Builder
	recorder := replay.EntryRecorder{Out: &trace}
	recorder.Record(entry.Event{At: start, Settings: &entry.Settings{DataCentre: "a"}})
	recorder.Record(entry.Event{At: start, Update: &catalogue.Update{Source: catalogue.Servers, Full: true, Version: 1}})
	recorder.Record(entry.Event{At: start, Update: &catalogue.Update{Source: catalogue.Servers, Version: 1, AsOf: start.Add(time.Second)}})
	is.NoErr(recorder.Err())
	lines := strings.Split(trace.String(), "\n")
	is.True(strings.Contains(lines[1], `"unconfirmed":true`))
	is.True(!strings.Contains(lines[1], `"asked"`))
	is.True(!strings.Contains(lines[2], `"unconfirmed"`))
	_, err := replay.RunEntry("x.jsonl", strings.NewReader(trace.String()))
	is.NoErr(err)
}

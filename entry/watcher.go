package entry

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
)

// settingsPause is how often the settings file is looked at.
const settingsPause = 5 * time.Second

// settingsWatcher reads the settings file again when it changes, with or without
// SIGHUP. Settings with a fault are reported and not used.
type settingsWatcher struct {
	path    string
	logger  hclog.Logger
	changed chan Settings

	last []byte
	// unreadable is the last fault of the file itself.
	unreadable string
}

func (w *settingsWatcher) run(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	tick := time.NewTicker(settingsPause)
	defer tick.Stop()
	w.last, _ = w.read()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-tick.C:
		}
		w.look(ctx)
	}
}

// look reads the file and passes on what has changed.
func (w *settingsWatcher) look(ctx context.Context) {
	data, ok := w.read()
	if !ok || bytes.Equal(data, w.last) {
		return
	}
	w.last = data
	s, err := ParseSettings(w.path, data)
	if err != nil {
		w.logger.Warn("settings_refused", "error", err)
		return
	}
	select {
	case w.changed <- s:
	case <-ctx.Done():
	}
}

// read returns the content of the file. That it can't be read is reported once; the
// settings in force stay.
func (w *settingsWatcher) read() ([]byte, bool) {
	data, err := os.ReadFile(w.path)
	if err == nil {
		w.unreadable = ""
		return data, true
	}
	if w.unreadable != err.Error() {
		w.unreadable = err.Error()
		w.logger.Warn("settings_unreadable", "error", err)
	}
	return nil, false
}

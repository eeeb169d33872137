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

// settingsPollInterval is how often the settings file is checked for changes.
const settingsPollInterval = 5 * time.Second

// settingsWatcher reloads the settings file when its content changes, on SIGHUP or at the next
// poll. Invalid settings are logged and ignored.
type settingsWatcher struct {
	path    string
	logger  hclog.Logger
	changed chan Settings

	content []byte
	// readError is the last error of reading the file.
	readError string
}

func (w *settingsWatcher) run(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	w.content, _ = w.read()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-tick.C:
		}
		w.check(ctx)
	}
}

// check reads the file and sends the settings if it has changed.
func (w *settingsWatcher) check(ctx context.Context) {
	data, ok := w.read()
	if !ok || bytes.Equal(data, w.content) {
		return
	}
	w.content = data
	settings, err := ParseSettings(w.path, data)
	if err != nil {
		w.logger.Warn("settings_refused", "error", err)
		return
	}
	select {
	case w.changed <- settings:
	case <-ctx.Done():
	}
}

// read returns the content of the file. A repeated error is logged once; the settings in
// force stay.
func (w *settingsWatcher) read() ([]byte, bool) {
	data, err := os.ReadFile(w.path)
	if err == nil {
		w.readError = ""
		return data, true
	}
	if w.readError != err.Error() {
		w.readError = err.Error()
		w.logger.Warn("settings_unreadable", "error", err)
	}
	return nil, false
}

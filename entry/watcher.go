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
}

func (w *settingsWatcher) run(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	tick := time.NewTicker(settingsPause)
	defer tick.Stop()
	w.last, _ = os.ReadFile(w.path)
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
	data, err := os.ReadFile(w.path)
	if err != nil || bytes.Equal(data, w.last) {
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

package trial

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/settings"
)

// EntryHost is an entry host as a trial uses it.
type EntryHost struct {
	// Run serves until the context ends, and then stops as planned.
	Run func(ctx context.Context) error
	// Kill ends the host at once, as a crash would.
	Kill func()
	// Ready reports whether the host may get traffic.
	Ready func() bool
}

// process is one entry host with its lives.
type process struct {
	settings settings.Settings

	host     EntryHost
	cancel   context.CancelFunc
	done     chan struct{}
	running  bool
	inFabric bool
}

const (
	healthInterval = 50 * time.Millisecond
	readyLimit     = 20 * time.Second
	stopLimit      = 20 * time.Second
)

// startProcess starts a host, or starts it anew.
func (w *world) startProcess(ctx context.Context, p *process) {
	host := w.trial.newHost(p.settings)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	w.mu.Lock()
	p.host, p.cancel, p.done, p.running = host, cancel, done, true
	w.mu.Unlock()
	w.group.Go(func() {
		defer close(done)
		err := host.Run(ctx)
		if ctx.Err() == nil && err != nil && w.isRunning(p) {
			w.fail(errors.Wrapf(err, "host %s", p.settings.Host))
		}
	})
}

func (w *world) isRunning(p *process) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return p.running
}

// stopProcess begins the planned stop of a host.
func (w *world) stopProcess(p *process) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p.running = false
	p.cancel()
}

// killProcess ends a host without a warning.
func (w *world) killProcess(p *process) {
	w.mu.Lock()
	p.running = false
	kill, cancel := p.host.Kill, p.cancel
	w.mu.Unlock()
	kill()
	cancel()
}

// awaitStopped waits until the host's last life has ended.
func (w *world) awaitStopped(ctx context.Context, p *process) error {
	timer := time.NewTimer(stopLimit)
	defer timer.Stop()
	select {
	case <-p.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return errors.Errorf("host %s did not stop within %s", p.settings.Host, stopLimit)
	}
}

// stopHosts stops all hosts as planned.
func (w *world) stopHosts() {
	for _, p := range w.processes {
		if w.isRunning(p) {
			w.stopProcess(p)
		}
	}
	for _, p := range w.processes {
		w.fail(w.awaitStopped(context.Background(), p))
	}
}

// checkHealth keeps the fabric's list of hosts, as a fabric's own checks do.
func (w *world) checkHealth(ctx context.Context) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		for _, p := range w.processes {
			w.checkProcess(p)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (w *world) checkProcess(p *process) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ready := p.running && p.host.Ready()
	switch {
	case ready && !p.inFabric:
		w.fabric.Add(p.settings.Host, p.settings.Listen.Packet, p.settings.Listen.Request)
	case !ready && p.inFabric:
		w.fabric.Remove(p.settings.Host)
	}
	p.inFabric = ready
}

// awaitReady waits until the fabric knows all hosts.
func (w *world) awaitReady(ctx context.Context) error {
	limit := time.NewTimer(readyLimit)
	defer limit.Stop()
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		missing := w.missing()
		if missing == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-limit.C:
			return errors.Errorf("host %s is not ready after %s: %s", missing.settings.Host, readyLimit, w.watch.reason(missing.settings.Host))
		case <-ticker.C:
		}
	}
}

func (w *world) missing() *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.processes {
		if !p.inFabric {
			return p
		}
	}
	return nil
}

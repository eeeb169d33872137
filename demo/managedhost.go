package demo

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/settings"
)

// EntryHost holds the functions by which a demonstration controls an entry host.
type EntryHost struct {
	// Run serves until the context ends, and then performs a planned stop.
	Run func(ctx context.Context) error
	// Kill ends the host immediately, as a crash would.
	Kill func()
	// Ready reports whether the host may receive traffic.
	Ready func() bool
}

// managedHost is an entry host that the demonstration stops, kills and starts
// again.
type managedHost struct {
	settings settings.Settings

	instance EntryHost
	cancel   context.CancelFunc
	done     chan struct{}
	running  bool
	inFabric bool
}

const (
	healthInterval = 50 * time.Millisecond
	readyTimeout   = 20 * time.Second
	stopTimeout    = 20 * time.Second
)

// startHost starts a host for the first time or again.
func (tb *testbed) startHost(ctx context.Context, host *managedHost) {
	instance := tb.demo.newHost(host.settings)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	tb.mu.Lock()
	host.instance, host.cancel, host.done, host.running = instance, cancel, done, true
	tb.mu.Unlock()
	tb.group.Go(func() {
		defer close(done)
		err := instance.Run(ctx)
		if ctx.Err() == nil && err != nil && tb.isRunning(host) {
			tb.recordError(errors.Wrapf(err, "run host %s", host.settings.Host))
		}
	})
}

func (tb *testbed) isRunning(host *managedHost) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return host.running
}

// stopHost begins a planned stop of a host.
func (tb *testbed) stopHost(host *managedHost) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	host.running = false
	host.cancel()
}

// killHost ends a host without a planned stop.
func (tb *testbed) killHost(host *managedHost) {
	tb.mu.Lock()
	host.running = false
	kill, cancel := host.instance.Kill, host.cancel
	tb.mu.Unlock()
	kill()
	cancel()
}

// awaitStopped waits until a stopped or killed host has ended.
func (tb *testbed) awaitStopped(ctx context.Context, host *managedHost) error {
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-host.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return errors.Errorf("host %s did not stop within %s", host.settings.Host, stopTimeout)
	}
}

// stopHosts performs a planned stop of all running hosts.
func (tb *testbed) stopHosts() {
	for _, host := range tb.hosts {
		if tb.isRunning(host) {
			tb.stopHost(host)
		}
	}
	for _, host := range tb.hosts {
		tb.recordError(tb.awaitStopped(context.Background(), host))
	}
}

// checkHealth adds ready hosts to the fabric and removes all others, as the health
// checks of a fabric do.
func (tb *testbed) checkHealth(ctx context.Context) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		for _, host := range tb.hosts {
			tb.checkHost(host)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (tb *testbed) checkHost(host *managedHost) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	ready := host.running && host.instance.Ready()
	switch {
	case ready && !host.inFabric:
		tb.fabric.Add(host.settings.Host, host.settings.Listen.Packet, host.settings.Listen.Request)
	case !ready && host.inFabric:
		tb.fabric.Remove(host.settings.Host)
	}
	host.inFabric = ready
}

// awaitReady waits until all hosts have been added to the fabric.
func (tb *testbed) awaitReady(ctx context.Context) error {
	timeout := time.NewTimer(readyTimeout)
	defer timeout.Stop()
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		unready := tb.unreadyHost()
		if unready == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timeout.C:
			return errors.Errorf("host %s is not ready after %s: %s", unready.settings.Host, readyTimeout, tb.tracker.unreadyReason(unready.settings.Host))
		case <-ticker.C:
		}
	}
}

func (tb *testbed) unreadyHost() *managedHost {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, host := range tb.hosts {
		if !host.inFabric {
			return host
		}
	}
	return nil
}

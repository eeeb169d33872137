package stand

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// Program is the program of the deploy file, relative to the root of the project.
const Program = "target/rattanthread-entry"

// Host is one entry host, a process.
type Host struct {
	Name    string
	world   *World
	address netip.Addr
	command *exec.Cmd
	exited  chan struct{}
	// inRotation and misses are the routers' state; World.mu guards them.
	inRotation bool
	misses     int
}

// settings have the form of deploy/entry.toml.tmpl.
const settings = `host = %q
data_centre = %q

[listen]
packets = "%[3]s:%[4]d"
readiness = "%[3]s:%[5]d"
peers = "%[3]s:%[6]d"
metrics = "%[3]s:9102"

[peers]
seeds = ["%[7]s:%[6]d","%[8]s:%[6]d"]

[store]
address = %[9]q

[bounds]
configuration = "3000ms"
drain = "3000ms"
evacuation = "5000ms"
stop = "6s"
cold_over = 1.5
cold_slack = 5

[limits]
cores = 0.4
link_megabits = 1000.0
`

// HostName returns the name of the host with a number.
func HostName(number int) string { return fmt.Sprintf("front-%s-%d", zone, number) }

// StartHost starts an entry host that reaches the store at an address, or directly if that is
// empty.
func (w *World) StartHost(number int, store string) (*Host, error) {
	if store == "" {
		store = w.store.Addr().String()
	}
	host := &Host{Name: HostName(number), world: w, address: w.address(classHost, number), exited: make(chan struct{})}
	text := fmt.Sprintf(settings, host.Name, zone, host.address, w.ports.packets, w.ports.readiness, w.ports.peers,
		w.address(classHost, 1), w.address(classHost, 2), store)
	path := w.path(host.Name + ".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	logFile, err := os.Create(w.path(host.Name + ".log"))
	if err != nil {
		return nil, err
	}
	host.command = exec.Command(Program)
	host.command.Env = append(os.Environ(), "RATTANTHREAD_CONFIG="+path)
	host.command.Stdout, host.command.Stderr = logFile, logFile
	if err := host.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = host.command.Wait()
		close(host.exited)
	}()
	w.mu.Lock()
	w.hosts = append(w.hosts, host)
	w.mu.Unlock()
	go host.checkReadiness()
	w.Logf("%s: started at %s", host.Name, host.address)
	return host, nil
}

// checkReadiness asks the host twice a second whether it is ready, as the routers do.
func (h *Host) checkReadiness() {
	client := http.Client{Timeout: readinessInterval}
	for {
		ready := false
		if response, err := client.Get(fmt.Sprintf("http://%s:%d%s", h.address, h.world.ports.readiness, names.Readiness)); err == nil {
			ready = response.StatusCode == http.StatusOK
			_ = response.Body.Close()
		}
		h.update(ready)
		select {
		case <-h.world.done:
			return
		case <-time.After(readinessInterval):
		}
	}
}

// update takes the host out of rotation after two misses.
func (h *Host) update(ready bool) {
	h.world.mu.Lock()
	before := h.inRotation
	if ready {
		h.misses, h.inRotation = 0, true
	} else if h.misses++; h.misses >= 2 {
		h.inRotation = false
	}
	after := h.inRotation
	h.world.mu.Unlock()
	if before != after {
		h.world.Logf("routers: %s in rotation: %t", h.Name, after)
	}
}

// InRotation reports whether the routers send flows to the host.
func (h *Host) InRotation() bool {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	return h.inRotation
}

// Stop starts a planned stop.
func (h *Host) Stop() {
	h.world.Logf("platform: SIGTERM to %s", h.Name)
	_ = h.command.Process.Signal(syscall.SIGTERM)
}

// Kill ends the process if it is running.
func (h *Host) Kill() {
	select {
	case <-h.exited:
	default:
		_ = h.command.Process.Kill()
		<-h.exited
	}
}

package soak

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rattanthread/rattanthread/platformstandin"
)

// machine runs the program of one entry host.
type machine struct {
	soak     *Soak
	world    *world
	node     *platformstandin.Node
	proxy    *proxy
	settings string
	seeds    string
	log      *os.File
	client   http.Client
}

// readyTimeout bounds a health check.
const readyTimeout = 300 * time.Millisecond

const settingsForm = `host = %q
data_centre = %q

[listen]
packets = "%[3]s:%[4]d"
readiness = "%[3]s:%[5]d"
peers = "%[3]s:%[6]d"
metrics = "%[3]s:%[7]d"

[peers]
seeds = [%[8]s]

[store]
address = %[9]q

[bounds]
configuration = "3s"
drain = "3s"
evacuation = "5s"
stop = "6s"
`

func newMachine(s *Soak, w *world, node *platformstandin.Node) (*machine, error) {
	proxy, err := newProxy(w.store.Addr().String())
	if err != nil {
		return nil, err
	}
	m := &machine{soak: s, world: w, node: node, proxy: proxy, client: http.Client{Timeout: readyTimeout}}
	m.settings = filepath.Join(s.Folder, node.Name+".toml")
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf(`"%s:%d"`, hostAddress(i), peersPort))
	}
	m.seeds = strings.Join(seeds, ", ")
	if m.log, err = os.Create(filepath.Join(s.Folder, node.Name+".log")); err != nil {
		return nil, err
	}
	return m, m.writeSettings()
}

func (m *machine) writeSettings() error {
	text := fmt.Sprintf(settingsForm, m.node.Name, m.node.Zone, hostAddress(m.node.Index), packetsPort,
		readinessPort, peersPort, metricsPort, m.seeds, m.proxy.listener.Addr().String())
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// launch starts the program.
func (m *machine) launch() *platformstandin.Run {
	command := exec.Command(m.soak.Program, "-settings", m.settings)
	command.Stdout, command.Stderr = m.log, m.log
	var dead, asked atomic.Bool
	if err := command.Start(); err != nil {
		m.world.site.Break("START: " + err.Error())
		dead.Store(true)
	} else {
		m.soak.running.Store(command.Process.Pid, command.Process)
		go func() {
			err := command.Wait()
			m.soak.running.Delete(command.Process.Pid)
			dead.Store(true)
			if !asked.Load() {
				m.world.site.Break(fmt.Sprintf("EXIT: %s ended by itself: %v", m.node.Name, err))
			}
		}()
	}
	signal := func(s syscall.Signal) func() {
		return func() {
			asked.Store(true)
			if !dead.Load() && command.Process != nil {
				_ = command.Process.Signal(s)
			}
		}
	}
	return &platformstandin.Run{
		Deliver: m.deliver, Ready: m.ready, Stop: signal(syscall.SIGTERM), Kill: signal(syscall.SIGKILL), Dead: dead.Load,
	}
}

// signal sends a signal to the running program, if there is one.
func (m *machine) signal(s syscall.Signal) {
	m.soak.running.Range(func(_, value any) bool {
		process, ok := value.(*os.Process)
		if ok && m.soak.owns(process.Pid, m.settings) {
			_ = process.Signal(s)
		}
		return true
	})
}

func (m *machine) deliver(packet []byte) {
	conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(netip.AddrPortFrom(hostAddress(m.node.Index), packetsPort)))
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write(packet)
}

func (m *machine) ready() bool {
	response, err := m.client.Get(fmt.Sprintf("http://%s:%d/ready", hostAddress(m.node.Index), readinessPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

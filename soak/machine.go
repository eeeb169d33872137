package soak

import (
	"bufio"
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

// machine runs the processes of one entry host.
type machine struct {
	soak         *Soak
	loopback     *loopback
	node         *platformstandin.Node
	proxy        *proxy
	settingsPath string
	seeds        string
	log          *os.File
	client       http.Client
}

// readyTimeout is the timeout of a health check.
const readyTimeout = 300 * time.Millisecond

const settingsTemplate = `host = %q
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

func newMachine(soak *Soak, network *loopback, node *platformstandin.Node) (*machine, error) {
	proxy, err := newProxy(network.store.Addr().String())
	if err != nil {
		return nil, err
	}
	m := &machine{soak: soak, loopback: network, node: node, proxy: proxy, client: http.Client{Timeout: readyTimeout}}
	m.settingsPath = filepath.Join(soak.Folder, node.Name+".toml")
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf(`"%s:%d"`, hostAddress(i), peersPort))
	}
	m.seeds = strings.Join(seeds, ", ")
	if m.log, err = os.Create(filepath.Join(soak.Folder, node.Name+".log")); err != nil {
		return nil, err
	}
	return m, m.writeSettings()
}

func (m *machine) writeSettings() error {
	text := fmt.Sprintf(settingsTemplate, m.node.Name, m.node.Zone, hostAddress(m.node.Index), packetsPort,
		readinessPort, peersPort, metricsPort, m.seeds, m.proxy.listener.Addr().String())
	return os.WriteFile(m.settingsPath, []byte(text), 0o600)
}

// launch starts the program of the entry host.
func (m *machine) launch() *platformstandin.Process {
	command := exec.Command(m.soak.Program, "-settings", m.settingsPath)
	command.Stdout, command.Stderr = m.log, m.log
	var exited, signaled atomic.Bool
	if err := command.Start(); err != nil {
		m.loopback.site.ReportViolation("START: " + err.Error())
		exited.Store(true)
	} else {
		m.soak.processes.Store(command.Process.Pid, command.Process)
		go func() {
			err := command.Wait()
			m.soak.processes.Delete(command.Process.Pid)
			exited.Store(true)
			if !signaled.Load() {
				m.loopback.site.ReportViolation(fmt.Sprintf("EXIT: %s exited unexpectedly: %v", m.node.Name, err))
			}
		}()
	}
	signal := func(s syscall.Signal) func() {
		return func() {
			signaled.Store(true)
			m.checkMetrics()
			if !exited.Load() && command.Process != nil {
				_ = command.Process.Signal(s)
			}
		}
	}
	return &platformstandin.Process{
		Deliver: m.deliver, Ready: m.ready, Stop: signal(syscall.SIGTERM), Kill: signal(syscall.SIGKILL), Exited: exited.Load,
	}
}

// checkMetrics checks the ages in the metrics of the running process, if it responds.
func (m *machine) checkMetrics() {
	if metrics, err := m.metrics(); err == nil {
		m.loopback.site.CheckMetrics(m.node, metrics)
	}
}

// findImpossibleAges returns a violation for the first line in the log of the machine that shows an
// impossible age, if there is one.
func (m *machine) findImpossibleAges() ([]string, error) {
	log, err := os.Open(m.log.Name()) // the processes share the offset of m.log
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLogLineBytes)
	for lines.Scan() {
		if platformstandin.FindImpossibleAge(lines.Text()) != "" {
			return []string{"AGE: " + m.node.Name + " logged " + lines.Text()}, nil
		}
	}
	return nil, lines.Err()
}

// maxLogLineBytes is the maximum length of a line in the log of a host. The trace of a crash has the
// longest ones.
const maxLogLineBytes = 1 << 20

// signal sends a signal to the running process, if there is one.
func (m *machine) signal(s syscall.Signal) {
	m.soak.processes.Range(func(_, value any) bool {
		process, ok := value.(*os.Process)
		if ok && m.soak.hasArgument(process.Pid, m.settingsPath) {
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

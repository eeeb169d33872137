package main_test

import (
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/rattanthread/rattanthread/entry"
	"github.com/rattanthread/rattanthread/platformstandin"
)

// Parameters of BenchmarkStart.
const (
	serverCount  = 20
	sendInterval = time.Millisecond // between opening packets
	startTimeout = 10 * time.Second
)

// BenchmarkStart measures the wall clock and CPU time from the start of the process
// until it has forwarded the first packet, in comparison with a Go program that only
// forwards packets.
func BenchmarkStart(b *testing.B) {
	dir := b.TempDir()
	programs := map[string]string{"entry": ".", "bare": "./testdata/bare"}
	for name, source := range programs {
		out, err := exec.Command("go", "build", "-o", filepath.Join(dir, name), source).CombinedOutput()
		if err != nil {
			b.Fatal(string(out), err)
		}
	}
	server := listen(b)
	store := httptest.NewServer(newStore(server.LocalAddr().String()))
	b.Cleanup(store.Close)
	packetAddress := freeAddress(b)
	settings := filepath.Join(dir, "settings.toml")
	text := fmt.Sprintf(`host = "front-a-1"
data_centre = "a"
listen = { packets = %q, readiness = %q, peers = %q, metrics = %q }
peers = { seeds = [] }
store = { address = %q }
bounds = { configuration = "3s", drain = "3s", evacuation = "5s", stop = "6s" }
`, packetAddress, freeAddress(b), freeAddress(b), freeAddress(b), store.Listener.Addr())
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
	b.Run("entry", func(b *testing.B) {
		measureStarts(b, packetAddress, server, func() *exec.Cmd {
			c := exec.Command(filepath.Join(dir, "entry"))
			c.Env = append(os.Environ(), entry.SettingsVariable+"="+settings)
			return c
		})
	})
	b.Run("bare", func(b *testing.B) {
		measureStarts(b, packetAddress, server, func() *exec.Cmd {
			return exec.Command(filepath.Join(dir, "bare"), packetAddress, server.LocalAddr().String())
		})
	})
}

// newStore returns a store with the routes of a site, and servers that share an
// address.
func newStore(server string) *platformstandin.Store {
	s := new(platformstandin.Site)
	s.Configure(1, nil)
	for i := range serverCount {
		s.Store.Put("servers", fmt.Sprintf("i-%06x", i+1), platformstandin.TargetSpec("bench", server, "a"))
	}
	return &s.Store
}

// measureStarts starts a program repeatedly, and kills it after its first packet.
func measureStarts(b *testing.B, packetAddress string, server net.PacketConn, command func() *exec.Cmd) {
	caller, err := net.Dial("udp", packetAddress)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	var wall, cpu time.Duration
	for b.Loop() {
		c := command()
		start := time.Now()
		if err := c.Start(); err != nil {
			b.Fatal(err)
		}
		waitForPacket(b, caller, server)
		wall += time.Since(start)
		_ = c.Process.Kill()
		_ = c.Wait()
		cpu += c.ProcessState.UserTime() + c.ProcessState.SystemTime()
	}
	b.ReportMetric(float64(wall.Microseconds())/1000/float64(b.N), "ms/start")
	b.ReportMetric(float64(cpu.Microseconds())/1000/float64(b.N), "processor-ms/start")
}

// waitForPacket sends opening packets until the program has forwarded one.
func waitForPacket(b *testing.B, caller net.Conn, server net.PacketConn) {
	buffer := make([]byte, 2048)
	for start := time.Now(); time.Since(start) < startTimeout; {
		_, _ = caller.Write(platformstandin.OpeningPacket())
		_ = server.SetReadDeadline(time.Now().Add(sendInterval))
		if _, _, err := server.ReadFrom(buffer); err == nil {
			return
		}
	}
	b.Fatal("no packet was forwarded")
}

func listen(b *testing.B) net.PacketConn {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = c.Close() })
	return c
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

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

// Sizes of the benchmark of starts.
const (
	startServers  = 20
	startInterval = time.Millisecond // between opening packets
	startPatience = 10 * time.Second
)

// BenchmarkStart measures the time from the start of the process until it has
// forwarded a first packet, and its processor time until then, next to a Go
// program that only forwards.
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
	store := httptest.NewServer(site(server.LocalAddr().String()))
	b.Cleanup(store.Close)
	packets := freeAddress(b)
	settings := filepath.Join(dir, "settings.toml")
	text := fmt.Sprintf(`host = "front-a-1"
data_centre = "a"
listen = { packets = %q, readiness = %q, peers = %q, metrics = %q }
peers = { seeds = [] }
store = { address = %q }
bounds = { configuration = "3s", drain = "3s", evacuation = "5s", stop = "6s" }
`, packets, freeAddress(b), freeAddress(b), freeAddress(b), store.Listener.Addr())
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
	b.Run("entry", func(b *testing.B) {
		measure(b, packets, server, func() *exec.Cmd {
			c := exec.Command(filepath.Join(dir, "entry"))
			c.Env = append(os.Environ(), entry.SettingsVariable+"="+settings)
			return c
		})
	})
	b.Run("bare", func(b *testing.B) {
		measure(b, packets, server, func() *exec.Cmd {
			return exec.Command(filepath.Join(dir, "bare"), packets, server.LocalAddr().String())
		})
	})
}

// site returns a store with a route, and servers at one address.
func site(server string) *platformstandin.Store {
	s := new(platformstandin.Site)
	s.Configure(1, nil)
	for i := range startServers {
		s.Store.Put("servers", fmt.Sprintf("i-%06x", i+1), map[string]any{
			"service": "bench", "address": server, "zone": "a", "slots": 2, "state": "ready",
		})
	}
	return &s.Store
}

// measure starts a program again and again, and stops it after its first packet.
func measure(b *testing.B, packets string, server net.PacketConn, command func() *exec.Cmd) {
	caller, err := net.Dial("udp", packets)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	var wall, processor time.Duration
	for b.Loop() {
		c := command()
		start := time.Now()
		if err := c.Start(); err != nil {
			b.Fatal(err)
		}
		awaitPacket(b, caller, server)
		wall += time.Since(start)
		_ = c.Process.Kill()
		_ = c.Wait()
		processor += c.ProcessState.UserTime() + c.ProcessState.SystemTime()
	}
	b.ReportMetric(float64(wall.Microseconds())/1000/float64(b.N), "ms/start")
	b.ReportMetric(float64(processor.Microseconds())/1000/float64(b.N), "processor-ms/start")
}

// awaitPacket sends opening packets until one is forwarded.
func awaitPacket(b *testing.B, caller net.Conn, server net.PacketConn) {
	buffer := make([]byte, 2048)
	for start := time.Now(); time.Since(start) < startPatience; {
		_, _ = caller.Write(platformstandin.OpeningPacket())
		_ = server.SetReadDeadline(time.Now().Add(startInterval))
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

// freeAddress returns an address at which nothing listens.
func freeAddress(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

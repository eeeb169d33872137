package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/status"
)

const (
	statusInterval = 100 * time.Millisecond
	statusTimeout  = time.Second
	maxStatusBytes = 4 << 20
)

// Watch follows what the entry hosts have in force. It is safe for concurrent
// use; its zero value works.
type Watch struct {
	mu       sync.Mutex
	expected []expectation
	seen     map[fleet.HostID]status.Host
	reverted []string
}

// expectation is a publication that has to be in force everywhere soon.
type expectation struct {
	row   PublicationRow
	began time.Time
}

// Expect notes that a revision was published at began and has to be in force soon.
func (w *Watch) Expect(began time.Time, revision fleet.Revision, change string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expected = append(w.expected, expectation{PublicationRow{Revision: revision, Change: change}, began})
}

// Observe takes the status of one host.
func (w *Watch) Observe(host status.Host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.seen == nil {
		w.seen = make(map[fleet.HostID]status.Host)
	}
	before := w.seen[host.Host]
	if before.Revision > host.Revision && before.Incarnation == host.Incarnation {
		w.reverted = append(w.reverted, fmt.Sprintf("%s went from revision %d to %d", host.Host, before.Revision, host.Revision))
	}
	w.seen[host.Host] = host
}

// Forget drops the status of a host that is not running.
func (w *Watch) Forget(host fleet.HostID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.seen, host)
}

// Conclude marks the publications that all hosts now have in force.
func (w *Watch) Conclude(now time.Time, running []fleet.HostID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lowest := w.lowest(running)
	for i := range w.expected {
		e := &w.expected[i]
		if !e.row.Complete && lowest >= e.row.Revision {
			e.row.Complete = true
			e.row.InForce = status.SecondsOf(now.Sub(e.began))
		}
	}
}

// lowest is the lowest revision in force; zero when a host has not told.
func (w *Watch) lowest(running []fleet.HostID) fleet.Revision {
	var lowest fleet.Revision
	for i, id := range running {
		revision := w.seen[id].Revision
		if i == 0 || revision < lowest {
			lowest = revision
		}
	}
	return lowest
}

// Publications returns what was published and when it was in force everywhere.
func (w *Watch) Publications() []PublicationRow {
	w.mu.Lock()
	defer w.mu.Unlock()
	var rows []PublicationRow
	for _, e := range w.expected {
		rows = append(rows, e.row)
	}
	return rows
}

// Reverted describes each time a host went back to an older revision.
func (w *Watch) Reverted() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.reverted...)
}

// reason is why a host says that it is not ready.
func (w *Watch) reason(host fleet.HostID) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	seen, ok := w.seen[host]
	if !ok {
		return "no status"
	}
	return seen.Reason
}

// Sent is what a host had sent to its peers at a time, by its own count.
type Sent struct {
	At          time.Time
	Incarnation fleet.Incarnation
	Bytes       uint64
}

// Rate returns the bytes a second since an earlier count. It is false when the
// host was replaced meanwhile, as its counters start at zero.
func (s Sent) Rate(earlier Sent) (float64, bool) {
	elapsed := s.At.Sub(earlier.At).Seconds()
	if elapsed <= 0 || s.Incarnation != earlier.Incarnation || s.Bytes < earlier.Bytes {
		return 0, false
	}
	return float64(s.Bytes-earlier.Bytes) / elapsed, true
}

// SentBytes returns what a host says that it sent to its peers.
func (w *Watch) SentBytes(now time.Time, host fleet.HostID) (Sent, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	seen := w.seen[host]
	sent := Sent{At: now, Incarnation: seen.Incarnation}
	found := false
	for name, value := range seen.Counters {
		if strings.HasPrefix(name, peerBytesCounter) && strings.Contains(name, sentLabel) {
			sent.Bytes += value
			found = true
		}
	}
	return sent, found
}

// counters adds up the counters of all hosts.
func (w *Watch) counters() map[string]uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := make(map[string]uint64)
	for _, host := range w.seen {
		for name, value := range host.Counters {
			if value > 0 {
				total[name] += value
			}
		}
	}
	return total
}

// watchStatus asks all running hosts for their status, over and over.
func (w *world) watchStatus(ctx context.Context) {
	client := &http.Client{Timeout: statusTimeout}
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		w.askAll(ctx, client)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (w *world) askAll(ctx context.Context, client *http.Client) {
	var running []fleet.HostID
	for _, p := range w.processes {
		if !w.isRunning(p) {
			w.watch.Forget(p.settings.Host)
			continue
		}
		running = append(running, p.settings.Host)
		if host, err := ask(ctx, client, p.settings.Listen.Admin.String()); err == nil {
			w.watch.Observe(host)
		}
	}
	w.watch.Conclude(time.Now(), running)
}

// ask reads the status of one host.
func ask(ctx context.Context, client *http.Client, admin string) (status.Host, error) {
	var host status.Host
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+status.Path, nil)
	if err != nil {
		return host, errors.Wrap(err, "ask "+admin)
	}
	response, err := client.Do(request)
	if err != nil {
		return host, errors.Wrap(err, "ask "+admin)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&host); err != nil {
		return host, errors.Wrap(err, "decode status of "+admin)
	}
	return host, nil
}

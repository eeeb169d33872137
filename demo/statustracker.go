package demo

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

// StatusTracker tracks the revision in force and the counters of each entry host.
// It is safe for concurrent use. The zero value is ready to use.
type StatusTracker struct {
	mu           sync.Mutex
	publications []publication
	statuses     map[fleet.HostID]status.Host
	reverts      []string
}

// publication is a published revision that must soon be in force on all hosts.
type publication struct {
	row         PublicationRow
	publishedAt time.Time
}

// Expect records that a revision was published and must soon be in force on all
// hosts.
func (t *StatusTracker) Expect(publishedAt time.Time, revision fleet.Revision, change string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.publications = append(t.publications, publication{PublicationRow{Revision: revision, Change: change}, publishedAt})
}

// Observe records the status of one host.
func (t *StatusTracker) Observe(host status.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.statuses == nil {
		t.statuses = make(map[fleet.HostID]status.Host)
	}
	before := t.statuses[host.Host]
	if before.Revision > host.Revision && before.Incarnation == host.Incarnation {
		t.reverts = append(t.reverts, fmt.Sprintf("%s went from revision %d to %d", host.Host, before.Revision, host.Revision))
	}
	t.statuses[host.Host] = host
}

// Forget discards the status of a host that is not running.
func (t *StatusTracker) Forget(host fleet.HostID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.statuses, host)
}

// MarkInForce marks the publications that are now in force on all running hosts.
func (t *StatusTracker) MarkInForce(now time.Time, running []fleet.HostID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	lowest := t.lowestRevision(running)
	for i := range t.publications {
		p := &t.publications[i]
		if !p.row.Complete && lowest >= p.row.Revision {
			p.row.Complete = true
			p.row.InForce = status.SecondsOf(now.Sub(p.publishedAt))
		}
	}
}

// lowestRevision returns the lowest revision in force, or zero if a host has not
// reported its status.
func (t *StatusTracker) lowestRevision(running []fleet.HostID) fleet.Revision {
	var lowest fleet.Revision
	for i, id := range running {
		revision := t.statuses[id].Revision
		if i == 0 || revision < lowest {
			lowest = revision
		}
	}
	return lowest
}

// Publications returns the publications and how long each took to be in force on
// all hosts.
func (t *StatusTracker) Publications() []PublicationRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []PublicationRow
	for _, p := range t.publications {
		rows = append(rows, p.row)
	}
	return rows
}

// Reverts describes each change of a running host to an older revision.
func (t *StatusTracker) Reverts() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.reverts...)
}

// unreadyReason returns the reason that a host reports for not being ready.
func (t *StatusTracker) unreadyReason(host fleet.HostID) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	hostStatus, ok := t.statuses[host]
	if !ok {
		return "no status received"
	}
	return hostStatus.Reason
}

// SentSample is the number of bytes that a host reported as sent to its peers up
// to a point in time.
type SentSample struct {
	At          time.Time
	Incarnation fleet.Incarnation
	Bytes       uint64
}

// Rate returns the bytes per second since an earlier sample. It reports false if
// the host restarted in between, since its counters then restarted at zero.
func (s SentSample) Rate(earlier SentSample) (float64, bool) {
	elapsed := s.At.Sub(earlier.At).Seconds()
	if elapsed <= 0 || s.Incarnation != earlier.Incarnation || s.Bytes < earlier.Bytes {
		return 0, false
	}
	return float64(s.Bytes-earlier.Bytes) / elapsed, true
}

// SentBytes returns the number of bytes that a host reports as sent to its peers.
// It reports false if the status of the host has no such counter.
func (t *StatusTracker) SentBytes(now time.Time, host fleet.HostID) (SentSample, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	hostStatus := t.statuses[host]
	sent := SentSample{At: now, Incarnation: hostStatus.Incarnation}
	found := false
	for name, value := range hostStatus.Counters {
		if strings.HasPrefix(name, peerBytesCounter) && strings.Contains(name, sentLabel) {
			sent.Bytes += value
			found = true
		}
	}
	return sent, found
}

// counters returns the sums of the counters of all hosts.
func (t *StatusTracker) counters() map[string]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := make(map[string]uint64)
	for _, host := range t.statuses {
		for name, value := range host.Counters {
			if value > 0 {
				total[name] += value
			}
		}
	}
	return total
}

// pollStatus polls the status of all running hosts.
func (tb *testbed) pollStatus(ctx context.Context) {
	client := &http.Client{Timeout: statusTimeout}
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		tb.pollHosts(ctx, client)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (tb *testbed) pollHosts(ctx context.Context, client *http.Client) {
	var running []fleet.HostID
	for _, host := range tb.hosts {
		if !tb.isRunning(host) {
			tb.tracker.Forget(host.settings.Host)
			continue
		}
		running = append(running, host.settings.Host)
		if hostStatus, err := fetchStatus(ctx, client, host.settings.Listen.Admin.String()); err == nil {
			tb.tracker.Observe(hostStatus)
		}
	}
	tb.tracker.MarkInForce(time.Now(), running)
}

// fetchStatus requests the status of one host.
func fetchStatus(ctx context.Context, client *http.Client, admin string) (status.Host, error) {
	var hostStatus status.Host
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+status.Path, nil)
	if err != nil {
		return hostStatus, errors.Wrap(err, "create status request to "+admin)
	}
	response, err := client.Do(request)
	if err != nil {
		return hostStatus, errors.Wrap(err, "request status of "+admin)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&hostStatus); err != nil {
		return hostStatus, errors.Wrap(err, "decode status of "+admin)
	}
	return hostStatus, nil
}

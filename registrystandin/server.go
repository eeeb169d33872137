// Package registrystandin provides an in-memory stand-in for the platform's object
// API. Tests and users can inject faults to simulate outages: slow calls,
// connections closed without a response, lost responses to writes, and stale reads.
//
// Server is an http.Handler. Faults are set with SetFaults, or over HTTP at
// /faults. docs/PLATFORM.md describes the API.
package registrystandin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/rattanthread/rattanthread/registry"
)

// Limits of the stand-in, equal to those of the platform.
const (
	DefaultWritesPerSecond = 300
	DefaultReadsPerSecond  = 2000
	MaxWait                = time.Minute
)

// objectsPath is the root of the object API.
const objectsPath = "/v1/objects"

// Server serves the object API. The zero value is an empty server that is ready to
// use. All methods are safe for concurrent use.
type Server struct {
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// WritesPerSecond and ReadsPerSecond limit the call rates; zero means the defaults.
	WritesPerSecond, ReadsPerSecond float64

	mu    sync.Mutex
	store store
	// restorations counts the restorations from an older copy.
	restorations uint64
	faults       Faults
	counts       Counts
	writes       *rate.Limiter
	reads        *rate.Limiter
	changed      chan struct{}
}

// Counts are the numbers of calls to the server. A watch counts as one call.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Watches uint64 `json:"watches"`
	Writes  uint64 `json:"writes"`
	// Applied is the number of writes that took effect.
	Applied uint64 `json:"applied"`
	// Limited is the number of calls rejected by the rate limits.
	Limited uint64 `json:"limited"`
	// Dropped is the number of calls aborted because Faults.Down was set.
	Dropped uint64 `json:"dropped"`
	// LostAnswers is the number of writes that took effect but got no response.
	LostAnswers uint64 `json:"lost_answers"`
}

// Counts returns the numbers of calls so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Reset deletes all objects, as if the platform had been recreated. Versions start
// from 1 again.
func (s *Server) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store = store{}
	s.notifyWatchers()
}

// Restore replaces all objects by a copy that is as old as age. Versions continue from the
// copy, and waiting watches are closed without a response.
func (s *Server) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.revert(s.readTime(age))
	s.restorations++
	s.notifyWatchers()
}

// epoch returns the number of the store's epoch, from 1.
func (s *Server) epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 1 + s.restorations
}

// epochHeader is the header of the store's epoch in responses.
const epochHeader = "Store-Era"

// ServeHTTP serves the object API and the control endpoints.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(epochHeader, strconv.FormatUint(s.epoch(), 10))
	switch {
	case r.URL.Path == objectsPath || strings.HasPrefix(r.URL.Path, objectsPath+"/"):
		s.serveObjects(w, r, strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, objectsPath), "/"))
	case r.URL.Path == "/faults":
		s.serveFaults(w, r)
	case r.URL.Path == "/counts" && r.Method == http.MethodGet:
		writeJSON(w, s.Counts())
	case r.URL.Path == "/reset" && r.Method == http.MethodPost:
		s.Reset()
		w.WriteHeader(http.StatusNoContent)
	case r.URL.Path == "/restore" && r.Method == http.MethodPost:
		s.serveRestore(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Server) serveRestore(w http.ResponseWriter, r *http.Request) {
	age, err := time.ParseDuration(r.URL.Query().Get("age"))
	if err != nil || age < 0 {
		http.Error(w, "bad age", http.StatusBadRequest)
		return
	}
	s.Restore(age)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveObjects(w http.ResponseWriter, r *http.Request, name string) {
	query := r.URL.Query()
	write := r.Method == http.MethodPut || r.Method == http.MethodDelete
	if !s.admit(write, query.Has("wait")) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "over the rate", http.StatusTooManyRequests)
		return
	}
	s.injectFaults()
	switch {
	case write && name != "":
		s.serveWrite(w, r, name)
	case r.Method == http.MethodGet && name == "":
		s.serveList(w, query.Get("prefix"), query.Get("values") != "false")
	case r.Method == http.MethodGet && query.Has("wait"):
		s.serveWatch(w, r, name)
	case r.Method == http.MethodGet:
		s.serveGet(w, name)
	default:
		http.Error(w, "no such operation", http.StatusMethodNotAllowed)
	}
}

// admit counts a call and reports whether the rate limits allow it.
func (s *Server) admit(write, watch bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writes == nil {
		s.writes = newLimiter(s.WritesPerSecond, DefaultWritesPerSecond)
		s.reads = newLimiter(s.ReadsPerSecond, DefaultReadsPerSecond)
	}
	limiter := s.reads
	switch {
	case write:
		s.counts.Writes++
		limiter = s.writes
	case watch:
		s.counts.Watches++
	default:
		s.counts.Reads++
	}
	if !limiter.AllowN(s.now(), 1) {
		s.counts.Limited++
		return false
	}
	return true
}

func newLimiter(perSecond, defaultRate float64) *rate.Limiter {
	if perSecond == 0 {
		perSecond = defaultRate
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), 1))
}

func (s *Server) serveGet(w http.ResponseWriter, name string) {
	s.mu.Lock()
	e, ok := s.store.entryAt(name, s.readTime(s.faults.Lag), s.now())
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	writeObject(w, e)
}

func (s *Server) serveList(w http.ResponseWriter, prefix string, values bool) {
	s.mu.Lock()
	list := s.store.list(prefix, s.readTime(max(s.faults.Lag, s.faults.ListLag)), s.now())
	s.mu.Unlock()
	for i := range list.Objects {
		if !values {
			list.Objects[i].Value = nil
		}
	}
	writeJSON(w, list)
}

// serveWatch responds as soon as the object's version is greater than that in the
// query, or with 204 when the wait ends.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request, name string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait < 0 {
		http.Error(w, "bad wait", http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(min(wait, MaxWait))
	defer timeout.Stop()
	epoch := s.epoch()
	for {
		e, ok, changed, lag := s.readForWatch(name)
		if ok && e.version > registry.Version(after) {
			writeObject(w, e)
			return
		}
		poll := lagPollTimer(lag)
		select {
		case <-changed:
		case <-poll:
		case <-r.Context().Done():
			return
		case <-timeout.C:
			w.Header().Set("ETag", etag(e.version))
			w.WriteHeader(http.StatusNoContent)
			return
		}
		if s.epoch() != epoch {
			panic(http.ErrAbortHandler)
		}
		if s.Faults().Down {
			s.injectFaults()
		}
	}
}

// readForWatch reads an object. It also returns a channel that is closed when an
// object or the faults change, and the lag of reads.
func (s *Server) readForWatch(name string) (e entry, ok bool, changed <-chan struct{}, lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	e, ok = s.store.entryAt(name, s.readTime(s.faults.Lag), s.now())
	return e, ok, s.changed, s.faults.Lag
}

// lagPollInterval is the interval at which a watch checks for writes that the lag
// has hidden.
const lagPollInterval = 20 * time.Millisecond

func lagPollTimer(lag time.Duration) <-chan time.Time {
	if lag == 0 {
		return nil
	}
	return time.After(lagPollInterval)
}

func (s *Server) serveWrite(w http.ResponseWriter, r *http.Request, name string) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, registry.MaxObjectBytes))
	if err != nil {
		http.Error(w, fmt.Sprintf("object is larger than %d bytes", registry.MaxObjectBytes), http.StatusRequestEntityTooLarge)
		return
	}
	lease, err := time.ParseDuration(r.URL.Query().Get("lease"))
	if err != nil && r.URL.Query().Has("lease") || lease < 0 {
		http.Error(w, "bad lease", http.StatusBadRequest)
		return
	}
	change := entry{value: value, deleted: r.Method == http.MethodDelete}
	version, applied, lost := s.apply(name, change, lease, r.Header)
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", etag(version))
	if !applied {
		http.Error(w, "another version is current", http.StatusPreconditionFailed)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// apply applies a write if its conditions hold. It returns the object's version.
func (s *Server) apply(name string, change entry, lease time.Duration, conditions http.Header) (version registry.Version, applied, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	current, exists := s.store.entryAt(name, now, now)
	if !conditionsHold(conditions, current, exists) {
		return current.version, false, false
	}
	change.at = now
	if lease > 0 {
		change.expires = now.Add(lease)
	}
	version = s.store.put(name, change)
	s.counts.Applied++
	s.notifyWatchers()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		s.counts.LostAnswers++
		lost = true
	}
	return version, true, lost
}

// conditionsHold evaluates If-Match and If-None-Match (RFC 9110, section 13).
func conditionsHold(conditions http.Header, current entry, exists bool) bool {
	if match := conditions.Get("If-Match"); match != "" {
		if !exists || match != "*" && match != etag(current.version) {
			return false
		}
	}
	if match := conditions.Get("If-None-Match"); match != "" {
		if exists && (match == "*" || match == etag(current.version)) {
			return false
		}
	}
	return true
}

func (s *Server) notifyWatchers() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func (s *Server) now() time.Time {
	if s.Now != nil {
		return s.Now()
	}
	return time.Now()
}

// readTime returns the time whose state a read with the given lag returns.
func (s *Server) readTime(lag time.Duration) time.Time { return s.now().Add(-lag) }

func writeObject(w http.ResponseWriter, e entry) {
	w.Header().Set("ETag", etag(e.version))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(e.value)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func etag(v registry.Version) string { return fmt.Sprintf("%q", strconv.FormatUint(uint64(v), 10)) }

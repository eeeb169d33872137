package platformstandin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Outage is a way in which the store does not serve.
type Outage int

// The outages.
const (
	Up Outage = iota
	// Busy answers 503.
	Busy
	// Many answers 429.
	Many
	// Silent never answers.
	Silent
	// Cut breaks each call off.
	Cut
)

// Faults of the store. The zero value has none.
type Faults struct {
	Outage Outage
	// Slow delays each answer.
	Slow time.Duration
	// Stale is how far serializable reads lag.
	Stale time.Duration
}

// Store is the platform's metadata store. The zero value is ready for use. Its
// methods are safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*Object
	history  []event
	// forgotten is the revision up to which the history is gone.
	forgotten uint64
	changed   chan struct{}
	faults    Faults
	// refused holds the faults of single hosts.
	refused map[string]Faults
	calls   int
	price   int
}

// Meta describes an object.
type Meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedRev uint64   `json:"created_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// Object is one object of the store.
type Object struct {
	Meta   Meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	at      time.Time
	kind    string
	object  Object
	deleted bool
}

// Put creates or replaces an object and returns its revision.
func (s *Store) Put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects == nil {
		s.objects = make(map[string]map[string]*Object)
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*Object)
	}
	object := s.objects[kind][name]
	s.revision++
	if object == nil {
		object = &Object{Meta: Meta{Name: name, CreatedRev: s.revision}}
		s.objects[kind][name] = object
	}
	object.Spec = data
	object.Meta.Revision = s.revision
	s.record(kind, *object, false)
	return s.revision
}

// Delete removes an object, if it is there.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object := s.objects[kind][name]
	if object == nil {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	object.Meta.Revision = s.revision
	s.record(kind, *object, true)
}

// Names returns the names of the objects of a kind, sorted.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.objects[kind]))
}

// spec returns the content of an object, or nil.
func (s *Store) spec(kind, name string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	var spec map[string]any
	if object := s.objects[kind][name]; object != nil {
		_ = json.Unmarshal(object.Spec, &spec)
	}
	return spec
}

// SetFaults replaces the faults of the store.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Refuse gives one host faults of its own.
func (s *Store) Refuse(host string, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused == nil {
		s.refused = make(map[string]Faults)
	}
	s.refused[host] = f
	s.wake()
}

// Forget drops the history: watches of the past get 410.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.forgotten = nil, s.revision
	s.wake()
}

// Calls returns how many calls the store has had.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) record(kind string, object Object, deleted bool) {
	s.history = append(s.history, event{at: time.Now(), kind: kind, object: object, deleted: deleted})
	s.wake()
}

// wake lets waiting watches look again.
func (s *Store) wake() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// Transport returns the way of one host to the store.
func (s *Store) Transport(host string) http.RoundTripper { return transport{store: s, host: host} }

type transport struct {
	store *Store
	host  string
}

var errCut = errors.New("connection reset")

// RoundTrip makes a call with the faults that the host meets.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	f := t.store.faultsOf(t.host)
	if f.Slow > 0 {
		time.Sleep(f.Slow)
	}
	recorder := newRecorder()
	switch f.Outage {
	case Silent:
		<-r.Context().Done()
		return nil, r.Context().Err()
	case Cut:
		return nil, errCut
	case Busy:
		recorder.WriteHeader(http.StatusServiceUnavailable)
	case Many:
		recorder.WriteHeader(http.StatusTooManyRequests)
	case Up:
		t.store.ServeHTTP(recorder, r)
	}
	if r.Context().Err() != nil {
		return nil, r.Context().Err()
	}
	return recorder.response(), nil
}

func (s *Store) faultsOf(host string) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if f, ok := s.refused[host]; ok {
		return f
	}
	return s.faults
}

// ServeHTTP answers lists and watches.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, ok := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	switch r.Method {
	case http.MethodGet:
	case http.MethodDelete:
		s.charge(false)
		s.remove(w, r, kind)
		return
	default:
		s.charge(false)
		s.write(w, r, kind)
		return
	}
	query := r.URL.Query()
	serializable := query.Get("serializable") == "1"
	s.charge(serializable)
	if !query.Has("watch") {
		writeJSON(w, s.list(kind, query.Get("after"), serializable))
		return
	}
	after, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.watch(w, r, kind, after, time.Duration(wait)*time.Millisecond)
}

// remove deletes an object, unless its revision is not the one that is named.
func (s *Store) remove(w http.ResponseWriter, r *http.Request, path string) {
	kind, name, _ := strings.Cut(path, "/")
	revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	s.mu.Lock()
	object := s.objects[kind][name]
	changed := object != nil && err == nil && object.Meta.Revision != revision
	s.mu.Unlock()
	switch {
	case object == nil:
		w.WriteHeader(http.StatusNotFound)
	case changed:
		w.WriteHeader(http.StatusConflict)
	default:
		s.Delete(kind, name)
		writeJSON(w, map[string]any{})
	}
}

// write creates an object, named in its body, or replaces one, named in the path.
func (s *Store) write(w http.ResponseWriter, r *http.Request, path string) {
	var object Object
	if err := json.NewDecoder(r.Body).Decode(&object); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	kind, name, named := strings.Cut(path, "/")
	if !named {
		name = object.Meta.Name
	}
	exists := s.spec(kind, name) != nil
	if exists != named {
		w.WriteHeader(map[bool]int{true: http.StatusConflict, false: http.StatusNotFound}[exists])
		return
	}
	s.Put(kind, name, object.Spec)
	writeJSON(w, object)
}

// A call has a price, in tenths of one that is not serializable.
const (
	price             = 10
	serializablePrice = 1
)

func (s *Store) charge(serializable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if serializable {
		s.price += serializablePrice
	} else {
		s.price += price
	}
}

// Price returns what the calls that were served have cost, in calls that are not
// serializable.
func (s *Store) Price() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.price) / price
}

// objectsAt returns the objects of a kind as a replica sees them that lags. Its revision
// may be that of the store itself. What the history doesn't tell is as it is now.
func (s *Store) objectsAt(kind string, lag time.Duration) map[string]Object {
	objects := make(map[string]Object)
	if lag == 0 || s.forgotten > 0 {
		for name, object := range s.objects[kind] {
			objects[name] = *object
		}
		return objects
	}
	for _, e := range s.history {
		switch {
		case time.Since(e.at) < lag || e.kind != kind:
		case e.deleted:
			delete(objects, e.object.Meta.Name)
		default:
			objects[e.object.Meta.Name] = e.object
		}
	}
	return objects
}

// pageItems is how many objects a page of a list has at most.
const pageItems = 500

func (s *Store) list(kind, after string, serializable bool) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	lag := time.Duration(0)
	if serializable {
		lag = s.faults.Stale
	}
	objects := s.objectsAt(kind, lag)
	var names []string
	for name := range objects {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > pageItems
	items := []Object{}
	for _, name := range names[:min(len(names), pageItems)] {
		items = append(items, objects[name])
	}
	return map[string]any{"items": items, "more": more, "current_rev": s.revision}
}

// watch answers with the changes after a revision, as soon as there is one.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		stale := time.Duration(0)
		if r.URL.Query().Get("serializable") == "1" {
			stale = s.faults.Stale
		}
		events, revision, gone := s.since(kind, after, stale)
		changed, down := s.changed, s.faults.Outage == Silent
		if changed == nil {
			s.changed = make(chan struct{})
			changed = s.changed
		}
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 && !down {
			writeJSON(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			if down {
				<-r.Context().Done()
				return
			}
			writeJSON(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
	}
}

// since returns the changes of a kind after a revision, as a replica sees them
// that lags.
func (s *Store) since(kind string, after uint64, stale time.Duration) ([]map[string]any, uint64, bool) {
	if after < s.forgotten {
		return nil, 0, true
	}
	events, revision := []map[string]any{}, s.forgotten
	for _, e := range s.history {
		if time.Since(e.at) < stale {
			break
		}
		revision = e.object.Meta.Revision
		if e.kind == kind && revision > after {
			events = append(events, map[string]any{"object": e.object, "deleted": e.deleted})
		}
	}
	return events, revision, false
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		panic(fmt.Sprintf("encode: %v", err))
	}
}

// recorder keeps an answer in memory.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newRecorder() *recorder { return &recorder{header: http.Header{}, status: http.StatusOK} }

// Header returns the header that will be answered.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader keeps the status.
func (r *recorder) WriteHeader(status int) { r.status = status }

// Write keeps a part of the body.
func (r *recorder) Write(b []byte) (int, error) { return r.body.Write(b) }

func (r *recorder) response() *http.Response {
	return &http.Response{StatusCode: r.status, Header: r.header, Body: io.NopCloser(&r.body)}
}

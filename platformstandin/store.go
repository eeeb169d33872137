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

// Outage is a failure mode of the store.
type Outage int

// Failure modes of the store.
const (
	NoOutage Outage = iota
	// Unavailable responds with status 503.
	Unavailable
	// TooManyRequests responds with status 429.
	TooManyRequests
	// Unresponsive never responds.
	Unresponsive
	// ConnectionReset fails each call with a connection reset.
	ConnectionReset
)

// StoreFaults are the faults of the store. The zero value means none.
type StoreFaults struct {
	Outage Outage
	// Delay is the extra time that each call takes.
	Delay time.Duration
	// ReadLag is how far serializable reads lag behind.
	ReadLag time.Duration
}

// Store is the platform's metadata store. The zero value is ready to use. Its
// methods are safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*Object
	history  []event
	// log holds all changes, including those that were dropped from the history.
	log []event
	// restorations counts the restorations from an older copy.
	restorations uint64
	// droppedRevision is the revision up to which the history was dropped.
	droppedRevision uint64
	changed         chan struct{}
	// raw holds specs that the encoder rejects, by their placeholders.
	raw    map[string]string
	faults StoreFaults
	// hostFaults overrides faults for single hosts.
	hostFaults map[string]StoreFaults
	calls      int
	price      int
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
	return s.put(kind, name, data)
}

// PutRaw creates or replaces an object as another writer may, whose spec need not be valid.
func (s *Store) PutRaw(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.raw == nil {
		s.raw = make(map[string]string)
	}
	placeholder := fmt.Sprintf(`"raw spec %d"`, len(s.raw))
	s.raw[placeholder] = spec
	s.put(kind, name, json.RawMessage(placeholder))
}

// put creates or replaces an object. The caller must hold s.mu.
func (s *Store) put(kind, name string, spec json.RawMessage) uint64 {
	if s.objects == nil {
		s.objects = make(map[string]map[string]*Object)
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*Object)
	}
	object := s.objects[kind][name]
	s.revision = max(s.revision, initialRevision) + 1
	if object == nil {
		object = &Object{Meta: Meta{Name: name, CreatedRev: s.revision}}
		s.objects[kind][name] = object
	}
	object.Spec = spec
	object.Meta.Revision = s.revision
	s.recordEvent(kind, *object, false)
	return s.revision
}

// Delete removes an object, if it is there.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// remove removes an object, if it is there. The caller must hold s.mu.
func (s *Store) remove(kind, name string) {
	object := s.objects[kind][name]
	if object == nil {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	object.Meta.Revision = s.revision
	s.recordEvent(kind, *object, true)
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
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// SetHostFaults overrides the faults of the store for one host.
func (s *Store) SetHostFaults(host string, f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hostFaults == nil {
		s.hostFaults = make(map[string]StoreFaults)
	}
	s.hostFaults[host] = f
	s.notifyWatches()
}

// DropHistory drops the history. Watches of dropped revisions get status 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.droppedRevision = nil, s.revision
	s.notifyWatches()
}

// Calls returns the number of calls to the store, including those that failed.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) recordEvent(kind string, object Object, deleted bool) {
	change := event{at: time.Now(), kind: kind, object: object, deleted: deleted}
	s.history = append(s.history, change)
	s.log = append(s.log, change)
	s.notifyWatches()
}

// notifyWatches wakes the waiting watches. The caller must hold s.mu.
func (s *Store) notifyWatches() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// Transport returns the transport of one host to the store.
func (s *Store) Transport(host string) http.RoundTripper { return transport{store: s, host: host} }

type transport struct {
	store *Store
	host  string
}

var errConnectionReset = errors.New("connection reset")

// RoundTrip makes a call, subject to the faults that apply to the host.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	faults := t.store.beginCall(t.host)
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	recorder := newResponseRecorder()
	t.store.setEpoch(recorder)
	switch faults.Outage {
	case Unresponsive:
		<-r.Context().Done()
		return nil, r.Context().Err()
	case ConnectionReset:
		return nil, errConnectionReset
	case Unavailable:
		recorder.WriteHeader(http.StatusServiceUnavailable)
	case TooManyRequests:
		recorder.WriteHeader(http.StatusTooManyRequests)
	case NoOutage:
		t.store.ServeHTTP(recorder, r)
	}
	if r.Context().Err() != nil {
		return nil, r.Context().Err()
	}
	return recorder.result(), nil
}

// beginCall counts a call of a host and returns the faults that apply to it.
func (s *Store) beginCall(host string) StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if f, ok := s.hostFaults[host]; ok {
		return f
	}
	return s.faults
}

// ServeHTTP serves lists, watches, writes and deletions.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.setEpoch(w)
	kind, ok := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if s.unavailable() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.Method {
	case http.MethodGet:
	case http.MethodDelete:
		s.addPrice(false)
		s.serveDelete(w, r, kind)
		return
	default:
		s.addPrice(false)
		s.serveWrite(w, r, kind)
		return
	}
	query := r.URL.Query()
	serializable := query.Get("serializable") == "1"
	s.addPrice(serializable)
	if !query.Has("watch") {
		s.writeObjects(w, s.list(kind, query.Get("after"), serializable))
		return
	}
	after, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.serveWatch(w, r, kind, after, time.Duration(wait)*time.Millisecond)
}

// serveDelete deletes an object, unless the request names another revision.
func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request, path string) {
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

// serveWrite creates an object that is named in the body, or replaces one that is
// named in the path.
func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request, path string) {
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

// Prices of calls, in tenths of the price of a linearizable call.
const (
	linearizablePrice = 10
	serializablePrice = 1
)

func (s *Store) addPrice(serializable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if serializable {
		s.price += serializablePrice
	} else {
		s.price += linearizablePrice
	}
}

// Price returns the price of the calls that were served, in linearizable calls.
func (s *Store) Price() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.price) / linearizablePrice
}

// objectsAt returns the objects of a kind as a replica with the given lag has them.
// The revision that a list returns with them may be newer. If a part of the history
// was dropped, objectsAt returns the current objects.
func (s *Store) objectsAt(kind string, lag time.Duration) map[string]Object {
	objects := make(map[string]Object)
	if lag == 0 || s.droppedRevision > 0 {
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

// initialRevision is the revision before the first change.
const initialRevision = 1

// maxPageItems is the maximum number of objects in a page of a list.
const maxPageItems = 500

func (s *Store) list(kind, after string, serializable bool) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	lag := time.Duration(0)
	if serializable {
		lag = s.faults.ReadLag
	}
	objects := s.objectsAt(kind, lag)
	var names []string
	for name := range objects {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > maxPageItems
	items := []Object{}
	for _, name := range names[:min(len(names), maxPageItems)] {
		items = append(items, objects[name])
	}
	return map[string]any{"items": items, "more": more, "current_rev": s.revision}
}

// serveWatch responds with the changes after a revision as soon as there is one, or
// after wait. A restoration cuts off the watch.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, kind string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	restorations := s.restorationCount()
	for {
		s.mu.Lock()
		lag := time.Duration(0)
		if r.URL.Query().Get("serializable") == "1" {
			lag = s.faults.ReadLag
		}
		events, revision, dropped := s.eventsSince(kind, after, lag)
		changed, unresponsive := s.changed, s.faults.Outage == Unresponsive
		unavailable := s.faults.Outage == Unavailable || s.restorations != restorations
		if changed == nil {
			s.changed = make(chan struct{})
			changed = s.changed
		}
		s.mu.Unlock()
		if unavailable {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if dropped {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 && !unresponsive {
			s.writeObjects(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			if unresponsive {
				<-r.Context().Done()
				return
			}
			s.writeObjects(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
	}
}

// eventsSince returns the changes of a kind after a revision as a replica with the
// given lag has them, and the revision of the replica. It reports whether the store does
// not have the history that it needs.
func (s *Store) eventsSince(kind string, after uint64, lag time.Duration) ([]map[string]any, uint64, bool) {
	if after < s.droppedRevision || after > max(s.revision, initialRevision) {
		return nil, 0, true
	}
	events, revision := []map[string]any{}, s.droppedRevision
	for _, e := range s.history {
		if time.Since(e.at) < lag {
			break
		}
		revision = e.object.Meta.Revision
		if e.kind == kind && revision > after {
			events = append(events, map[string]any{"object": e.object, "deleted": e.deleted})
		}
	}
	return events, revision, false
}

// writeObjects responds with a list or with events.
func (s *Store) writeObjects(w http.ResponseWriter, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("encode: %v", err))
	}
	s.mu.Lock()
	for placeholder, spec := range s.raw {
		data = bytes.ReplaceAll(data, []byte(placeholder), []byte(spec))
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // the reader may have gone
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		panic(fmt.Sprintf("encode: %v", err))
	}
}

// responseRecorder records a response in memory.
type responseRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newResponseRecorder() *responseRecorder {
	return &responseRecorder{header: http.Header{}, status: http.StatusOK}
}

// Header returns the header of the response.
func (r *responseRecorder) Header() http.Header { return r.header }

// WriteHeader sets the status of the response.
func (r *responseRecorder) WriteHeader(status int) { r.status = status }

// Write appends to the body of the response.
func (r *responseRecorder) Write(b []byte) (int, error) { return r.body.Write(b) }

func (r *responseRecorder) result() *http.Response {
	return &http.Response{StatusCode: r.status, Header: r.header, ContentLength: int64(r.body.Len()), Body: io.NopCloser(&r.body)}
}

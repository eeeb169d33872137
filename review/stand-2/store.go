package main

import (
	"encoding/json"
	"net"
	"net/http"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// change is one change of the store. Check-ins that change nothing else replace its spec.
type change struct {
	at       time.Time
	revision uint64
	kind     string
	name     string
	created  uint64
	deleted  bool
	spec     json.RawMessage
}

// store is the platform's metadata store. It keeps all its history.
type store struct {
	mu       sync.Mutex
	revision uint64
	log      []change
	// created holds the revision in which each object was created.
	created map[string]uint64
}

func newStore() *store { return &store{revision: 100, created: make(map[string]uint64)} }

// put creates or replaces an object. The time that it returns is that of the confirmation.
func (s *store) put(kind, name string, spec any) time.Time {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := kind + "/" + name
	if last := s.last(kind, name); last != nil && s.created[key] != 0 && sameEntry(last.spec, data) {
		last.spec = data // neither an event nor a revision: nothing changed but the number of the check-in
		return time.Now()
	}
	s.revision++
	if s.created[key] == 0 {
		s.created[key] = s.revision
	}
	s.log = append(s.log, change{time.Now(), s.revision, kind, name, s.created[key], false, data})
	return time.Now()
}

// last returns the last change of an object, or nil. The caller holds mu.
func (s *store) last(kind, name string) *change {
	for i := len(s.log) - 1; i >= 0; i-- {
		if s.log[i].kind == kind && s.log[i].name == name {
			return &s.log[i]
		}
	}
	return nil
}

// sameEntry reports whether two specs differ in seq and the remaining warm-up at most.
func sameEntry(a, b json.RawMessage) bool {
	var first, second map[string]any
	if json.Unmarshal(a, &first) != nil || json.Unmarshal(b, &second) != nil {
		return false
	}
	if (first["seq"] == nil) != (second["seq"] == nil) {
		return false
	}
	for _, m := range []map[string]any{first, second} {
		delete(m, "seq")
		delete(m, wire["cold_remaining"])
	}
	return reflect.DeepEqual(first, second)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := kind + "/" + name
	if s.created[key] == 0 {
		return
	}
	s.revision++
	s.log = append(s.log, change{time.Now(), s.revision, kind, name, s.created[key], true, nil})
	delete(s.created, key)
}

// exists reports whether an object exists.
func (s *store) exists(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.created[kind+"/"+name] != 0
}

// state returns the objects of a kind as a replica with a lag has them, and its revision.
func (s *store) state(kind string, lag time.Duration) ([]change, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects := make(map[string]change)
	revision := uint64(100)
	for _, c := range s.log {
		if lag > 0 && time.Since(c.at) < lag {
			break
		}
		revision = c.revision
		switch {
		case c.kind != kind:
		case c.deleted:
			delete(objects, c.name)
		default:
			objects[c.name] = c
		}
	}
	var list []change
	for _, c := range objects {
		list = append(list, c)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list, revision
}

// since returns the changes of a kind after a revision as a replica with a lag has them, and its revision.
func (s *store) since(kind string, after uint64, lag time.Duration) ([]change, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var events []change
	revision := uint64(100)
	for _, c := range s.log {
		if lag > 0 && time.Since(c.at) < lag {
			break
		}
		revision = c.revision
		if c.kind == kind && c.revision > after {
			events = append(events, c)
		}
	}
	return events, revision
}

func (c change) object() map[string]any {
	var spec any = c.spec
	if c.spec == nil {
		spec = nil
	}
	return map[string]any{
		"meta": map[string]any{"name": c.name, "revision": c.revision, wire["created"]: c.created, "finalizers": []string{}, "deleting": false},
		"spec": spec, "status": nil,
	}
}

// door is the store as one machine reaches it.
type door struct {
	store *store
	// lag is how old the data of reads with serializable = 1 may be on the way of this machine.
	lag      time.Duration
	link     *link
	listener net.Listener

	mu sync.Mutex
	// onRead is called with each linearizable read of the servers.
	onRead func()
	reads  int
	last   time.Time
}

func openDoor(s *store, address string, lag time.Duration) (*door, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	d := &door{store: s, lag: lag, link: &link{}, listener: listener}
	go func() {
		_ = (&http.Server{Handler: d, ReadHeaderTimeout: time.Minute}).Serve(linkListener{listener, d.link})
	}()
	return d, nil
}

// lastRead returns how many calls the machine has made, and when the last one was.
func (d *door) lastRead() (int, time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reads, d.last
}

// notify sets the function that is called after each linearizable read of the servers was answered.
func (d *door) notify(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onRead = f
}

// ServeHTTP serves lists, watches and writes.
func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	path, ok := strings.CutPrefix(r.URL.Path, wire["objects"])
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	d.mu.Lock()
	d.reads++
	d.last = time.Now()
	d.mu.Unlock()
	kind, name, _ := strings.Cut(path, "/")
	switch r.Method {
	case http.MethodPost, http.MethodPut:
		d.write(w, r, kind, name)
		return
	case http.MethodDelete:
		if !d.store.exists(kind, name) {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		d.store.remove(kind, name)
		reply(w, map[string]any{})
		return
	}
	query := r.URL.Query()
	lag := time.Duration(0)
	linearizable := query.Get("serializable") != "1"
	if !linearizable {
		lag = d.lag
	}
	if !query.Has("watch") {
		list, revision := d.store.state(kind, lag)
		items := []any{}
		for _, c := range list {
			items = append(items, c.object())
		}
		reply(w, map[string]any{"items": items, "more": false, wire["store_revision"]: revision})
		return
	}
	after, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	waitMS, waitErr := strconv.Atoi(query.Get(wire["wait"]))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.Now().Add(time.Duration(waitMS) * time.Millisecond)
	for {
		events, revision := d.store.since(kind, after, lag)
		if len(events) == 0 && time.Now().Before(end) && r.Context().Err() == nil {
			time.Sleep(2 * time.Millisecond)
			continue
		}
		objects := []any{}
		for _, c := range events {
			objects = append(objects, map[string]any{"object": c.object(), "deleted": c.deleted})
		}
		reply(w, map[string]any{"events": objects, wire["store_revision"]: revision})
		d.mu.Lock()
		f := d.onRead
		d.mu.Unlock()
		if f != nil && linearizable && kind == "servers" {
			f()
		}
		return
	}
}

func (d *door) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body struct {
		Meta struct {
			Name string `json:"name"`
		} `json:"meta"`
		Spec json.RawMessage `json:"spec"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		name = body.Meta.Name
	}
	if d.store.exists(kind, name) != (r.Method == http.MethodPut) {
		w.WriteHeader(map[string]int{http.MethodPost: http.StatusConflict, http.MethodPut: http.StatusNotFound}[r.Method])
		return
	}
	d.store.put(kind, name, body.Spec)
	reply(w, body)
}

func reply(w http.ResponseWriter, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

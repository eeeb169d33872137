package platformstandin

import (
	"bytes"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"
)

// epochHeader is the response header that counts the restorations of the store, from 1.
const epochHeader = "Store-Era"

// Restore replaces the content of the store by a copy that is as old as age. Revisions
// continue from that of the copy. The objects of the given kinds are written again as they
// were.
func (s *Store) Restore(age time.Duration, kinds ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.objects
	s.revert(age)
	for _, kind := range kinds {
		s.writeAgain(kind, lost[kind])
	}
	s.notifyWatches()
}

// revert makes the state that of an earlier time. The caller must hold s.mu.
func (s *Store) revert(age time.Duration) {
	kept := slices.IndexFunc(s.log, func(e event) bool { return time.Since(e.at) < age })
	if kept < 0 {
		kept = len(s.log)
	}
	s.log = slices.Clip(s.log[:kept])
	s.revision = 0
	if kept > 0 {
		s.revision = s.log[kept-1].object.Meta.Revision
	}
	s.history = slices.DeleteFunc(s.history, func(e event) bool { return e.object.Meta.Revision > s.revision })
	s.droppedRevision = min(s.droppedRevision, s.revision)
	s.objects = replay(s.log)
	s.restorations++
}

// writeAgain makes the objects of a kind those that were lost. The caller must hold s.mu.
func (s *Store) writeAgain(kind string, lost map[string]*Object) {
	for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		if lost[name] == nil {
			s.remove(kind, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(lost)) {
		if restored := s.objects[kind][name]; restored == nil || !bytes.Equal(restored.Spec, lost[name].Spec) {
			s.put(kind, name, lost[name].Spec)
		}
	}
}

// replay returns the objects by kind and name after changes.
func replay(changes []event) map[string]map[string]*Object {
	objects := make(map[string]map[string]*Object)
	for _, e := range changes {
		if objects[e.kind] == nil {
			objects[e.kind] = make(map[string]*Object)
		}
		if e.deleted {
			delete(objects[e.kind], e.object.Meta.Name)
		} else {
			objects[e.kind][e.object.Meta.Name] = &e.object
		}
	}
	return objects
}

func (s *Store) restorationCount() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restorations
}

func (s *Store) setEpoch(w http.ResponseWriter) {
	w.Header().Set(epochHeader, strconv.FormatUint(1+s.restorationCount(), 10))
}

func (s *Store) unavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Outage == Unavailable
}

// restoredDelay is the response time of a restored store. Without one, calls that are repeated
// without a pause stop the virtual clock.
const restoredDelay = 4 * time.Millisecond

// RestoreStore makes the store unavailable for a time. It then returns from a copy that is as
// old as age, and the operators write again what they had written. The targets do so with
// their next heartbeats.
func (s *Site) RestoreStore(outage, age time.Duration) {
	s.RelaxBounds()
	s.Store.SetFaults(StoreFaults{Outage: Unavailable})
	time.Sleep(outage)
	s.Store.Restore(age, "config", "evacuations")
	s.Store.SetFaults(StoreFaults{Delay: restoredDelay})
	s.RelaxBounds()
}

// lostConfigurations is the number of configurations that only a lost part of the store's
// history contains.
const lostConfigurations = 20

// restoreStore changes routes, evacuates a zone and drains a target before the store is
// restored from a copy that is older than these changes. Some time later, when the store has
// assigned the same revisions again, the routes change again.
func (s *Site) restoreStore() {
	s.background.Go(func() {
		time.Sleep(time.Second)
		s.Evacuate(s.Zones[len(s.Zones)-1])
		s.withLock(func() { s.drainAndReplace(s.targets[0]) })
		for i := range lostConfigurations {
			s.Configure(3+i, []netip.AddrPort{probeRoute})
		}
		time.Sleep(time.Second)
		s.RestoreStore(time.Second, 4*time.Second)
		time.Sleep(2 * time.Second)
		s.EndEvacuation(s.Zones[len(s.Zones)-1])
	})
	time.Sleep(time.Second / 2)
	s.Configure(2, []netip.AddrPort{probeRoute})
	s.probeHosts(routeChange{added: true}, 11*time.Second)
	s.Configure(3+lostConfigurations, nil)
	s.probeHosts(routeChange{}, 5*time.Second)
}

package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// fetch is what this host is getting from a peer.
type fetch struct {
	target Head // known to exist
	from   fleet.HostID
	sent   time.Time // zero when the fetch has not been sent
	whole  bool      // changes did not fit; ask for the whole configuration
	sum    uint64    // of the snapshot under way
	chunks [][]byte
	count  int
}

// snapshot is the encoded configuration in force, made when a peer first needs it.
type snapshot struct {
	data []byte
	sum  uint64
}

// readAnnounce compares the sender's head with this host's.
func (f *Follower) readAnnounce(now time.Time, from fleet.HostID, a *Announce) []fleet.Send {
	mine := f.head()
	switch {
	case a.Head.After(mine):
		// A host that has not yet compared itself may hold a history that its
		// peers would not adopt.
		if a.Fresh && mine.Revision > 0 && a.Head.History != mine.History {
			return nil
		}
		return f.behind(now, from, a.Head)
	case mine.After(a.Head):
		return f.ahead(from, a.Head)
	case a.Ask:
		return []fleet.Send{{To: from, Message: f.announce(false)}}
	}
	return nil
}

// ahead helps a peer that lags: with the steps that it lacks, else with the news
// that there is something to fetch.
func (f *Follower) ahead(to fleet.HostID, have Head) []fleet.Send {
	if steps := f.stepsAfter(have); steps != nil && f.ready {
		f.counts.ServedChanges++
		return []fleet.Send{{To: to, Message: &Changes{Head: f.head(), Steps: steps}}}
	}
	return []fleet.Send{{To: to, Message: f.announce(false)}}
}

func (f *Follower) stepsAfter(have Head) []Step {
	if have.History != f.current.History {
		return nil
	}
	return f.backlog.after(have.Revision)
}

// behind starts a fetch from a peer that has a later configuration, unless one
// is under way.
func (f *Follower) behind(now time.Time, from fleet.HostID, target Head) []fleet.Send {
	if target.After(f.fetch.target) {
		f.fetch.target = target
	}
	if f.fetch.from != "" && now.Sub(f.fetch.sent) < f.limits.RetryInterval {
		return nil
	}
	f.fetch.from = from
	return f.sendFetch(now)
}

func (f *Follower) sendFetch(now time.Time) []fleet.Send {
	f.counts.Fetches++
	f.fetch.sent = now
	m := &Fetch{Have: f.head(), Sum: f.fetch.sum, Index: len(f.fetch.chunks)}
	if f.fetch.whole {
		m.Have = Head{}
	}
	return []fleet.Send{{To: f.fetch.from, Message: m}}
}

// tickFetch sends a fetch that Observe has asked for, and gives up on one that
// had no answer. A snapshot under way continues with the next peer that has it.
func (f *Follower) tickFetch(now time.Time) []fleet.Send {
	switch {
	case f.fetch.from == "":
		return nil
	case f.fetch.sent.IsZero():
		return f.sendFetch(now)
	case now.Sub(f.fetch.sent) < f.limits.RetryInterval:
		return nil
	}
	f.counts.Retries++
	f.fetch.from = ""
	var sends []fleet.Send
	for _, to := range f.compareWith() {
		sends = append(sends, fleet.Send{To: to, Message: f.announce(true)})
	}
	return sends
}

// serve answers a Fetch.
func (f *Follower) serve(to fleet.HostID, m *Fetch) []fleet.Send {
	mine := f.head()
	if !f.ready || !mine.After(m.Have) {
		return []fleet.Send{{To: to, Message: f.announce(false)}}
	}
	if steps := f.stepsAfter(m.Have); steps != nil {
		f.counts.ServedChanges++
		return []fleet.Send{{To: to, Message: &Changes{Head: mine, Steps: steps}}}
	}
	if !f.encodeSnapshot() {
		return nil
	}
	index := m.Index
	size := f.limits.ChunkBytes
	count := (len(f.snapshot.data) + size - 1) / size
	if m.Sum != f.snapshot.sum || index < 0 || index >= count {
		index = 0
	}
	f.counts.ServedChunks++
	part := f.snapshot.data[index*size : min((index+1)*size, len(f.snapshot.data))]
	chunk := &Chunk{Head: mine, Sum: f.snapshot.sum, Index: index, Count: count, Data: part}
	return []fleet.Send{{To: to, Message: chunk}}
}

func (f *Follower) encodeSnapshot() bool {
	if f.snapshot.data != nil {
		return true
	}
	data, err := f.current.Encode()
	if err != nil {
		f.counts.Discarded++
		return false
	}
	f.snapshot = snapshot{data: data, sum: xxhash.Sum64(data)}
	return true
}

// readChanges applies the steps that continue what is in force.
func (f *Follower) readChanges(now time.Time, from fleet.HostID, m *Changes) []fleet.Send {
	if m.Head.History != f.current.History || f.current.Revision == 0 {
		if m.Head.After(f.head()) {
			return f.behind(now, from, m.Head)
		}
		return nil
	}
	before := f.current.Revision
	for i := range m.Steps {
		s := &m.Steps[i]
		if s.From != f.current.Revision {
			continue
		}
		if !f.applyStep(now, s) {
			f.fetch.whole = true
			break
		}
	}
	var sends []fleet.Send
	if f.current.Revision > before {
		sends = f.push(false)
	}
	if m.Head.After(f.head()) {
		sends = append(sends, f.behind(now, from, m.Head)...)
	}
	return sends
}

func (f *Follower) applyStep(now time.Time, s *Step) bool {
	delta, err := config.DecodeDelta(s.Delta)
	if err != nil || s.To <= s.From {
		f.counts.Discarded++
		return false
	}
	set, err := delta.Apply(f.current.Set)
	if err != nil {
		f.counts.Discarded++
		return false
	}
	r := f.current
	r.Revision = s.To
	r.Published = s.Published
	r.Publication = s.Publication
	r.Set = set
	kept := s
	if f.limits.BacklogSteps < 0 {
		kept = nil
	}
	f.counts.Steps++
	f.adopt(now, r, kept)
	return true
}

// readChunk collects a snapshot and adopts it when it is whole.
func (f *Follower) readChunk(now time.Time, from fleet.HostID, c *Chunk) []fleet.Send {
	size := f.limits.ChunkBytes
	if !c.Head.After(f.head()) {
		return nil
	}
	if c.Index < 0 || c.Index >= c.Count || c.Count > maxChunks || c.Count*size > maxSnapshotBytes {
		f.counts.Discarded++
		return nil
	}
	if c.Sum != f.fetch.sum {
		f.fetch.sum = c.Sum
		f.fetch.chunks = nil
		f.fetch.count = c.Count
	}
	if c.Head.After(f.fetch.target) {
		f.fetch.target = c.Head
	}
	if c.Index == len(f.fetch.chunks) {
		f.fetch.chunks = append(f.fetch.chunks, c.Data)
	}
	if len(f.fetch.chunks) < f.fetch.count {
		f.fetch.from = from
		return f.sendFetch(now)
	}
	return f.adoptSnapshot(now)
}

func (f *Follower) adoptSnapshot(now time.Time) []fleet.Send {
	var data []byte
	for _, part := range f.fetch.chunks {
		data = append(data, part...)
	}
	sum := f.fetch.sum
	f.fetch.sum, f.fetch.chunks, f.fetch.from, f.fetch.whole = 0, nil, "", false
	if xxhash.Sum64(data) != sum {
		f.counts.Discarded++
		return nil
	}
	r, err := config.DecodeRevised(data)
	if err != nil {
		f.counts.Discarded++
		return nil
	}
	head := Head{History: r.History, Revision: r.Revision, Published: r.Published}
	if !head.After(f.head()) {
		f.counts.Discarded++
		return nil
	}
	if r.History != f.current.History && f.current.Revision > 0 {
		f.counts.Histories++
	}
	f.counts.Snapshots++
	f.adopt(now, r, nil)
	return f.push(false)
}

package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// fetch is the state of fetching a later configuration from peers.
type fetch struct {
	target Head // latest head that a peer has reported
	from   fleet.HostID
	sent   time.Time // zero if the fetch has not been sent
	full   bool      // the changes could not be applied; request a full snapshot
	sum    uint64    // of the snapshot being received
	chunks [][]byte  // received so far
	count  int       // total number of chunks
	// retries counts the unanswered fetches for target.
	retries int
}

// snapshot is the encoded configuration in force, created when a peer first needs it.
type snapshot struct {
	data []byte
	sum  uint64
}

// handleAnnounce compares the sender's head with the head of this host.
func (f *Follower) handleAnnounce(now time.Time, from fleet.HostID, announce *Announce) []fleet.Send {
	head := f.head()
	if from == f.fetch.from && !announce.Head.After(head) {
		f.fetch = fetch{} // the peer has no later configuration after all
	}
	switch {
	case announce.Head.After(head):
		// A starting host has not compared itself with its peers, and may have a
		// history that they would not adopt.
		if announce.Fresh && head.Revision > 0 && announce.Head.History != head.History {
			return nil
		}
		return f.startFetch(now, from, announce.Head)
	case head.After(announce.Head):
		return f.updatePeer(from, announce.Head)
	case announce.ReplyRequested:
		return []fleet.Send{{To: from, Message: f.newAnnounce(false)}}
	}
	return nil
}

// updatePeer sends a lagging peer the steps that it lacks, or if they are not
// available an Announce, so that the peer starts a fetch.
func (f *Follower) updatePeer(to fleet.HostID, have Head) []fleet.Send {
	if steps := f.stepsAfter(have); steps != nil && f.ready {
		f.counts.ServedChanges++
		return []fleet.Send{{To: to, Message: &Changes{Head: f.head(), Steps: steps}}}
	}
	return []fleet.Send{{To: to, Message: f.newAnnounce(false)}}
}

func (f *Follower) stepsAfter(have Head) []Step {
	if have.History != f.current.History {
		return nil
	}
	return f.backlog.after(have.Revision)
}

// startFetch starts a fetch from a peer that has a later configuration, unless one
// is in progress.
func (f *Follower) startFetch(now time.Time, from fleet.HostID, target Head) []fleet.Send {
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
	if f.fetch.full {
		m.Have = Head{}
	}
	return []fleet.Send{{To: f.fetch.from, Message: m}}
}

// advanceFetch sends a fetch that Observe has scheduled, and times out one without
// a response. A partial snapshot continues with the next peer that has it.
func (f *Follower) advanceFetch(now time.Time) []fleet.Send {
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
	f.fetch.retries++
	if f.fetch.retries > maxRetries {
		f.fetch = fetch{} // no peer responded; one that has the target will announce it
		return nil
	}
	var sends []fleet.Send
	for _, to := range f.comparisonPeers() {
		sends = append(sends, fleet.Send{To: to, Message: f.newAnnounce(true)})
	}
	return sends
}

// handleFetch responds to a Fetch.
func (f *Follower) handleFetch(to fleet.HostID, request *Fetch) []fleet.Send {
	head := f.head()
	if !f.ready || !head.After(request.Have) {
		return []fleet.Send{{To: to, Message: f.newAnnounce(false)}}
	}
	if steps := f.stepsAfter(request.Have); steps != nil {
		f.counts.ServedChanges++
		return []fleet.Send{{To: to, Message: &Changes{Head: head, Steps: steps}}}
	}
	if !f.encodeSnapshot() {
		return nil
	}
	index := request.Index
	size := f.limits.ChunkBytes
	count := (len(f.snapshot.data) + size - 1) / size
	if request.Sum != f.snapshot.sum || index < 0 || index >= count {
		index = 0
	}
	f.counts.ServedChunks++
	part := f.snapshot.data[index*size : min((index+1)*size, len(f.snapshot.data))]
	chunk := &Chunk{Head: head, Sum: f.snapshot.sum, Index: index, Count: count, Data: part}
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

// handleChanges applies the steps that follow the revision in force.
func (f *Follower) handleChanges(now time.Time, from fleet.HostID, changes *Changes) []fleet.Send {
	if changes.Head.History != f.current.History || f.current.Revision == 0 {
		if changes.Head.After(f.head()) {
			return f.startFetch(now, from, changes.Head)
		}
		return nil
	}
	before := f.current.Revision
	for i := range changes.Steps {
		step := &changes.Steps[i]
		if step.From != f.current.Revision {
			continue
		}
		if !f.applyStep(now, step) {
			f.fetch.full = true
			break
		}
	}
	var sends []fleet.Send
	if f.current.Revision > before {
		sends = f.push(false)
	}
	if changes.Head.After(f.head()) {
		sends = append(sends, f.startFetch(now, from, changes.Head)...)
	}
	return sends
}

func (f *Follower) applyStep(now time.Time, step *Step) bool {
	delta, err := config.DecodeDelta(step.Delta)
	if err != nil || step.To <= step.From {
		f.counts.Discarded++
		return false
	}
	set, err := delta.Apply(f.current.Set)
	if err != nil {
		f.counts.Discarded++
		return false
	}
	next := f.current
	next.Revision = step.To
	next.Published = step.Published
	next.Publication = step.Publication
	next.Set = set
	backlogStep := step
	if f.limits.BacklogSteps < 0 {
		backlogStep = nil
	}
	f.counts.Steps++
	f.adopt(now, next, backlogStep)
	return true
}

// handleChunk collects the chunks of a snapshot and adopts it when it is complete.
func (f *Follower) handleChunk(now time.Time, from fleet.HostID, chunk *Chunk) []fleet.Send {
	size := f.limits.ChunkBytes
	if !chunk.Head.After(f.head()) {
		return nil
	}
	if chunk.Index < 0 || chunk.Index >= chunk.Count || chunk.Count > maxChunks || chunk.Count*size > maxSnapshotBytes {
		f.counts.Discarded++
		return nil
	}
	if chunk.Sum != f.fetch.sum {
		f.fetch.sum = chunk.Sum
		f.fetch.chunks = nil
		f.fetch.count = chunk.Count
	}
	if chunk.Head.After(f.fetch.target) {
		f.fetch.target = chunk.Head
	}
	if chunk.Index == len(f.fetch.chunks) {
		f.fetch.chunks = append(f.fetch.chunks, chunk.Data)
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
	f.fetch.sum, f.fetch.chunks, f.fetch.from, f.fetch.full = 0, nil, "", false
	if xxhash.Sum64(data) != sum {
		f.counts.Discarded++
		return nil
	}
	next, err := config.DecodePublishedSet(data)
	if err != nil {
		f.counts.Discarded++
		return nil
	}
	head := Head{History: next.History, Revision: next.Revision, Published: next.Published}
	if !head.After(f.head()) {
		f.counts.Discarded++
		return nil
	}
	if next.History != f.current.History && f.current.Revision > 0 {
		f.counts.HistoryChanges++
	}
	f.counts.Snapshots++
	f.adopt(now, next, nil)
	return f.push(false)
}

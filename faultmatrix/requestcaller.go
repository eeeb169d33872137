package faultmatrix

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/control"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/request"
)

const (
	requestInterval = 40 * time.Millisecond
	requestTimeout  = 2 * time.Second // deadline of one attempt
	requestPatience = 8 * time.Second // after which the caller gives a request up
	serviceTime     = 200 * time.Millisecond
	retryPause      = 400 * time.Millisecond
)

// requestCallers send requests that must run at most once.
type requestCallers struct {
	world *World
	count uint64
	all   []*call
}

// call is one request of a caller, with all its attempts.
type call struct {
	world    *World
	key      request.Key
	body     request.BodyHash
	sent     time.Time
	runs     []request.AttemptID // as the servers saw it
	done     bool
	answered bool
}

// attempt is one attempt of a call at one host.
type attempt struct {
	call    *call
	host    *host
	id      request.AttemptID
	over    bool // the caller has an outcome, or none will come
	refused bool
	ran     bool
}

func (r *requestCallers) start() {
	r.world.after(warmUp-time.Second, func() { r.world.every(requestInterval, r.send) })
}

// newKey returns a UUID of version 7 from virtual time and the world's seed.
func (w *World) newKey() request.Key {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:], uint64(w.now.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], w.random.Uint64())
	binary.BigEndian.PutUint16(id[6:], uint16(w.random.Uint32()))
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return request.Key{ID: id}
}

func (r *requestCallers) send() {
	r.count++
	c := &call{world: r.world, key: r.world.newKey(), sent: r.world.now}
	binary.BigEndian.PutUint64(c.body[:], r.count)
	r.all = append(r.all, c)
	c.try()
}

// try makes one attempt through any host that accepts connections.
func (c *call) try() {
	w := c.world
	if c.done || w.now.Sub(c.sent) > requestPatience {
		c.done = true
		return
	}
	h := w.fabric.pick()
	if h == nil || !h.up || h.draining {
		w.after(retryPause, c.try)
		return
	}
	a := &attempt{call: c, host: h}
	h.running++
	h.run(func() { a.claim() })
	w.after(requestTimeout+retryPause, func() { a.ends("no outcome") })
}

func (a *attempt) claim() {
	w := a.call.world
	out := a.host.core.Step(w.now, &control.ClaimRequested{Claim: request.ClaimRequest{
		Key: a.call.key, Service: serviceScores, Body: a.call.body, Deadline: w.now.Add(requestTimeout),
	}})
	a.id = out.Attempt
	a.host.attempts[a.id] = a
	for _, send := range out.Sends {
		a.host.send(send)
	}
	for _, v := range out.Verdicts {
		a.host.answer(v)
	}
}

// answer takes a verdict of the host's control state.
func (h *host) answer(v request.Verdict) {
	if h.world.Mutant.Verdict != nil {
		v = h.world.Mutant.Verdict(h.world, v)
	}
	a := h.attempts[v.Attempt]
	if a == nil || a.over {
		return
	}
	switch v.Decision {
	case request.DecisionRun:
		a.send()
	case request.DecisionReplay:
		a.answered(string(v.Answer.Body))
	case request.DecisionRefused:
		a.refuse()
	default:
		a.call.done = true // unknown: the caller must not ask again
		a.ends("unknown")
	}
}

// send gives the request to a server that takes new work.
func (a *attempt) send() {
	w, h := a.call.world, a.host
	s := a.choose()
	if s == nil || !s.up {
		a.report(request.Result{Outcome: request.Refused, Reason: "connect_failed"})
		a.refuse()
		return
	}
	if !w.network.reaches(h.self.DataCentre, s.centre) {
		// Nothing proves that a connection which hangs wrote nothing.
		w.after(requestTimeout, func() { a.report(request.Result{Outcome: request.Unknown, Reason: "no_answer"}) })
		return
	}
	w.after(w.network.delay(h.self.DataCentre, s.centre), func() {
		if !s.up {
			return
		}
		s.takeWork()
		life := s.life
		a.ran = true
		a.call.runs = append(a.call.runs, a.id)
		w.checks.ran(a)
		w.after(serviceTime, func() {
			if s.up && s.life == life && w.network.reaches(s.centre, h.self.DataCentre) {
				h.run(func() { a.served(s) })
			}
		})
	})
}

// choose returns a server that the host's snapshot admits.
func (a *attempt) choose() *server {
	w, h := a.call.world, a.host
	snapshot := h.core.Snapshot()
	var candidates []*server
	for _, object := range snapshot.Revised.Set.Servers {
		if object.Service == serviceScores && snapshot.Servers[object.Name].Weight > 0 {
			candidates = append(candidates, w.servers[object.Name])
		}
	}
	start := w.random.IntN(len(candidates) + 1)
	for i := range candidates {
		s := candidates[(start+i)%len(candidates)]
		if s != nil && a.admits(snapshot, s.id) {
			return s
		}
	}
	return nil
}

func (a *attempt) admits(snapshot *control.Snapshot, id fleet.ServerID) bool {
	w := a.call.world
	var admitted bool
	switch snapshot.Servers[id].Admission {
	case backend.AdmitFreely:
		admitted = true
	case backend.AdmitByCredit:
		admitted = a.host.core.Credit().Take(w.now, id)
	}
	if w.Mutant.Admit != nil {
		return w.Mutant.Admit(id, admitted)
	}
	return admitted
}

// served takes the server's answer.
func (a *attempt) served(s *server) {
	if served := a.call.world.Mutant.Served; served != nil && !served() {
		a.report(request.Result{Outcome: request.Refused, Reason: "answer_lost"})
		a.refuse()
		return
	}
	body := "ran " + a.call.key.String()
	a.host.step(&control.EvidenceSeen{Evidence: backend.Evidence{
		Server: s.id, Kind: backend.EvidenceServed, Latency: serviceTime,
	}})
	a.report(request.Result{
		Outcome: request.Answered,
		Answer:  request.Answer{Status: 200, Body: []byte(body), BodyKept: true},
	})
	a.answered(body)
}

func (a *attempt) report(r request.Result) {
	a.host.run(func() { a.host.step(&control.ClaimEnded{Attempt: a.id, Result: r}) })
}

func (a *attempt) answered(body string) {
	w := a.call.world
	if a.over {
		return
	}
	if w.Mutant.Answer != nil {
		body = w.Mutant.Answer(body)
	}
	a.call.done, a.call.answered = true, true
	w.checks.answered(a, body)
	a.ends("answered")
}

func (a *attempt) refuse() {
	if a.over {
		return
	}
	a.refused = true
	a.call.world.checks.refused(a)
	a.ends("refused")
}

// hostDied ends the attempt without an outcome, as a broken connection does.
func (a *attempt) hostDied() {
	if !a.over {
		a.call.world.checks.cut(a)
	}
	a.ends("connection lost")
}

// ends notes that the caller has what it will get, and lets it ask again.
func (a *attempt) ends(string) {
	if a.over {
		return
	}
	a.over = true
	a.host.running--
	delete(a.host.attempts, a.id)
	if !a.call.done {
		a.call.world.after(retryPause, a.call.try)
	}
}

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
	attemptTimeout  = 2 * time.Second // deadline of one attempt
	requestTimeout  = 8 * time.Second // after which the caller starts no more attempts
	serviceTime     = 200 * time.Millisecond
	retryDelay      = 400 * time.Millisecond
)

// requestCallers sends requests that must run at most once.
type requestCallers struct {
	sim   *Simulation
	count uint64
	calls []*call
}

// call is one request of a caller, with all its attempts.
type call struct {
	sim      *Simulation
	key      request.Key
	body     request.BodyHash
	sent     time.Time
	runs     []request.AttemptID // as observed by the servers
	done     bool
	answered bool
}

// attempt is one attempt of a call at one host.
type attempt struct {
	call     *call
	host     *host
	id       request.AttemptID
	finished bool // the caller has an outcome, or will receive none
	refused  bool
	ran      bool
}

func (r *requestCallers) start() {
	r.sim.after(startupTime-time.Second, func() { r.sim.every(requestInterval, r.send) })
}

// newKey returns a version 7 UUID built from virtual time and seeded randomness.
func (sim *Simulation) newKey() request.Key {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:], uint64(sim.now.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], sim.random.Uint64())
	binary.BigEndian.PutUint16(id[6:], uint16(sim.random.Uint32()))
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return request.Key{ID: id}
}

func (r *requestCallers) send() {
	r.count++
	c := &call{sim: r.sim, key: r.sim.newKey(), sent: r.sim.now}
	binary.BigEndian.PutUint64(c.body[:], r.count)
	r.calls = append(r.calls, c)
	c.startAttempt()
}

// startAttempt makes an attempt through a random host, or retries later if that host
// accepts no connections.
func (c *call) startAttempt() {
	sim := c.sim
	if c.done || sim.now.Sub(c.sent) > requestTimeout {
		c.done = true
		return
	}
	h := sim.fabric.pick()
	if h == nil || !h.up || h.draining {
		sim.after(retryDelay, c.startAttempt)
		return
	}
	a := &attempt{call: c, host: h}
	h.running++
	h.run(func() { a.claim() })
	sim.after(attemptTimeout+retryDelay, func() { a.finish("no outcome") })
}

func (a *attempt) claim() {
	sim := a.call.sim
	out := a.host.core.Step(sim.now, &control.ClaimRequested{Claim: request.ClaimRequest{
		Key: a.call.key, Service: serviceScores, Body: a.call.body, Deadline: sim.now.Add(attemptTimeout),
	}})
	a.id = out.Attempt
	a.host.attempts[a.id] = a
	for _, send := range out.Sends {
		a.host.send(send)
	}
	for _, v := range out.Verdicts {
		a.host.handleVerdict(v)
	}
}

// handleVerdict handles a verdict of the host's control core.
func (h *host) handleVerdict(v request.Verdict) {
	if h.sim.Mutant.Verdict != nil {
		v = h.sim.Mutant.Verdict(h.sim, v)
	}
	a := h.attempts[v.Attempt]
	if a == nil || a.finished {
		return
	}
	switch v.Decision {
	case request.DecisionRun:
		a.send()
	case request.DecisionReplay:
		a.complete(string(v.Answer.Body))
	case request.DecisionRefused:
		a.refuse()
	default:
		a.call.done = true // the outcome is unknown, so the caller must not retry
		a.finish("unknown")
	}
}

// send sends the request to a server that admits new work.
func (a *attempt) send() {
	sim, h := a.call.sim, a.host
	server := a.chooseServer()
	if server == nil || !server.up {
		a.report(request.Result{Outcome: request.Refused, Reason: "connect_failed"})
		a.refuse()
		return
	}
	if !sim.network.reaches(h.self.DataCentre, server.centre) {
		// A connection that hangs may have delivered the request, so the outcome is
		// unknown.
		sim.after(attemptTimeout, func() { a.report(request.Result{Outcome: request.Unknown, Reason: "no_answer"}) })
		return
	}
	sim.after(sim.network.delay(h.self.DataCentre, server.centre), func() {
		if !server.up {
			return
		}
		server.acceptWork()
		incarnation := server.incarnation
		a.ran = true
		a.call.runs = append(a.call.runs, a.id)
		sim.checks.checkRun(a)
		sim.after(serviceTime, func() {
			if server.up && server.incarnation == incarnation && sim.network.reaches(server.centre, h.self.DataCentre) {
				h.run(func() { a.handleResponse(server) })
			}
		})
	})
}

// chooseServer returns a server to which the host's control core admits the request,
// or nil.
func (a *attempt) chooseServer() *server {
	sim, h := a.call.sim, a.host
	snapshot := h.core.Snapshot()
	var candidates []*server
	for _, object := range snapshot.Published.Set.Servers {
		if object.Service == serviceScores && snapshot.Servers[object.Name].Weight > 0 {
			candidates = append(candidates, sim.servers[object.Name])
		}
	}
	start := sim.random.IntN(len(candidates) + 1)
	for i := range candidates {
		s := candidates[(start+i)%len(candidates)]
		if s != nil && a.admit(snapshot, s.id) {
			return s
		}
	}
	return nil
}

// admit reports whether the request may be sent to a server. It takes credit if the
// server admits work only by credit.
func (a *attempt) admit(snapshot *control.Snapshot, id fleet.ServerID) bool {
	sim := a.call.sim
	var admitted bool
	switch snapshot.Servers[id].Admission {
	case backend.AdmitFreely:
		admitted = true
	case backend.AdmitByCredit:
		admitted = a.host.core.Credit().Take(sim.now, id)
	}
	if sim.Mutant.Admit != nil {
		return sim.Mutant.Admit(id, admitted)
	}
	return admitted
}

// handleResponse handles the server's response.
func (a *attempt) handleResponse(s *server) {
	if served := a.call.sim.Mutant.Served; served != nil && !served() {
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
	a.complete(body)
}

func (a *attempt) report(r request.Result) {
	a.host.run(func() { a.host.step(&control.ClaimEnded{Attempt: a.id, Result: r}) })
}

// complete ends the attempt with a response.
func (a *attempt) complete(body string) {
	sim := a.call.sim
	if a.finished {
		return
	}
	if sim.Mutant.Answer != nil {
		body = sim.Mutant.Answer(body)
	}
	a.call.done, a.call.answered = true, true
	sim.checks.checkAnswer(a, body)
	a.finish("answered")
}

func (a *attempt) refuse() {
	if a.finished {
		return
	}
	a.refused = true
	a.call.sim.checks.checkRefusal(a)
	a.finish("refused")
}

// abort ends the attempt without an outcome, as a lost connection does.
func (a *attempt) abort() {
	if !a.finished {
		a.call.sim.checks.recordLostHost(a)
	}
	a.finish("connection lost")
}

// finish ends the attempt, and schedules a retry unless the call is done.
func (a *attempt) finish(string) {
	if a.finished {
		return
	}
	a.finished = true
	a.host.running--
	delete(a.host.attempts, a.id)
	if !a.call.done {
		a.call.sim.after(retryDelay, a.call.startAttempt)
	}
}

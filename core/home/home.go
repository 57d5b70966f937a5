// Package home runs calls at the local backend server. Every call to the server
// passes here, so the limit, the order of shedding, at most once and leaving are
// decided with local state.
package home

import (
	"context"
	"sync"
	"time"

	"teaseltack"
	"teaseltack/core/dedup"
	"teaseltack/core/levels"
	"teaseltack/core/nested"
	"teaseltack/core/origin"
	"teaseltack/core/scope"
	"teaseltack/core/ticket"
)

const (
	// nestedMemory is how long a nested target counts as called by a method.
	nestedMemory = 5 * time.Second
	// nonceMemory is how long a call without a ticket is remembered by its nonce
	// after its deadline.
	nonceMemory = 10 * time.Second
)

// Config configures a Home.
type Config struct {
	Timers  teaseltack.Timers
	Host    teaseltack.HostID
	Gate    teaseltack.Gate
	Server  teaseltack.Server
	Tickets *ticket.Table
	Scopes  *scope.Table
	// MarkedLeaving reports whether operators marked the host as leaving; it may be nil.
	MarkedLeaving func() bool
	// Origins detects the routes that only servers call, for calls that carry no
	// link to their parent; it may be nil.
	Origins *origin.Table
	// NestedStats holds the statistics of the local server's calls; it may be nil.
	NestedStats *nested.Stats
	// Decisions records the decision about each call; it may be nil.
	Decisions teaseltack.DecisionRecorder
	// Levels holds the admission levels of the targets that the server calls.
	Levels *levels.Table
}

// Home serves the calls for one backend server. It is safe for concurrent use.
type Home struct {
	cfg   Config
	dedup *dedup.Filter

	mu       sync.Mutex
	service  teaseltack.Service
	serving  teaseltack.Serving
	inFlight int
	idle     chan struct{}
}

// New returns a home without an announced server. It subscribes to the timers
// until Close.
func New(cfg Config) *Home {
	return &Home{cfg: cfg, dedup: dedup.New(dedup.Config{Timers: cfg.Timers})}
}

// Close ends the subscription to the timers.
func (h *Home) Close() {
	h.dedup.Close()
}

// SetServing sets the service that the server announced and whether it takes new
// work.
func (h *Home) SetServing(service teaseltack.Service, serving teaseltack.Serving) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.service = service
	h.serving = serving
}

// Serving returns the announced service and its state.
func (h *Home) Serving() (teaseltack.Service, teaseltack.Serving) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.service, h.serving
}

// IssueTickets makes tickets for the target, if the server takes new work.
func (h *Home) IssueTickets(target teaseltack.Target, count int) ([]teaseltack.Ticket, *teaseltack.Refusal) {
	if refusal := h.checkServing(target.Service); refusal != nil {
		return nil, refusal
	}
	tickets := make([]teaseltack.Ticket, 0, count)
	for range count {
		tickets = append(tickets, h.cfg.Tickets.Issue(target))
	}
	return tickets, nil
}

func (h *Home) checkServing(service teaseltack.Service) *teaseltack.Refusal {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.checkServingLocked(service)
}

func (h *Home) checkServingLocked(service teaseltack.Service) *teaseltack.Refusal {
	if h.serving == teaseltack.Absent {
		return teaseltack.Refuse(teaseltack.ReasonNoServer, "no server has announced itself at host %s", h.cfg.Host)
	}
	if h.service != service {
		return teaseltack.Refuse(teaseltack.ReasonWrongHost, "host %s serves %s", h.cfg.Host, h.service)
	}
	if h.serving == teaseltack.Leaving || h.cfg.MarkedLeaving != nil && h.cfg.MarkedLeaving() {
		return teaseltack.Refuse(teaseltack.ReasonLeaving, "the server of host %s is leaving", h.cfg.Host)
	}
	return nil
}

// Serve runs one call and always returns an answer or a refusal with this
// home's load.
func (h *Home) Serve(ctx context.Context, call *teaseltack.Call) *teaseltack.Answer {
	inner := h.rank(call)
	started := h.cfg.Timers.Now()
	answer := h.serve(ctx, call)
	answer.ID = call.ID
	answer.Nonce = call.Nonce
	answer.Load = h.load(call.Target)
	answer.Load.Inner = inner
	h.record(call, answer, started)
	if call.NonIdempotent && h.checkServing(call.Target.Service) == nil {
		answer.FreshTicket = h.cfg.Tickets.Issue(call.Target)
	}
	return answer
}

// record records the outcome of a call.
func (h *Home) record(call *teaseltack.Call, answer *teaseltack.Answer, started time.Time) {
	if h.cfg.Decisions == nil {
		return
	}
	now := h.cfg.Timers.Now()
	d := &teaseltack.Decision{
		Step: teaseltack.StepRan, Part: "home", At: h.cfg.Host, Home: h.cfg.Host, ID: call.ID, Target: call.Target, Status: answer.Status,
		Verdict: answer.Verdict(), Remaining: call.Deadline.Sub(now), Elapsed: now.Sub(started), Work: answer.Work, Waited: answer.Waited,
		Load: answer.Load, Class: call.Priority.Class, Nested: call.Priority.Nested,
	}
	if answer.Refusal != nil {
		d.Step, d.Reason, d.Detail = teaseltack.StepBroke, answer.Refusal.Reason, answer.Refusal.Detail
		if answer.Refusal.Verdict == teaseltack.NotRun {
			d.Step = teaseltack.StepRefused
		}
	}
	h.cfg.Decisions.RecordDecision(d)
}

// rank puts a call on a route that only servers call before the callers' own:
// work that has begun goes first.
func (h *Home) rank(call *teaseltack.Call) bool {
	if h.cfg.Origins == nil || !h.cfg.Origins.Observe(call.Target.Method, call.Caller) {
		return false
	}
	call.Priority = teaseltack.Priority{Class: teaseltack.ClassProtected, Nested: true}
	return true
}

// below adds what is known of the local server's calls to what the scope says.
func (h *Home) below(running *scope.Scope) (waited time.Duration, troubled bool) {
	waited = time.Duration(running.NestedWait.Load())
	troubled = running.NestedFailed.Load()
	if h.cfg.NestedStats != nil {
		waited += h.cfg.NestedStats.Wait()
		troubled = troubled || h.cfg.NestedStats.Failing()
	}
	return waited, troubled
}

func (h *Home) load(target teaseltack.Target) teaseltack.Load {
	load := h.cfg.Gate.Load(target.Method)
	since := h.cfg.Timers.Now().Add(-nestedMemory)
	for _, nested := range h.cfg.Scopes.NestedTargets(target, since) {
		load.NestedLevel = max(load.NestedLevel, h.cfg.Levels.Level(nested))
	}
	return load
}

func refusedAnswer(call *teaseltack.Call, refusal *teaseltack.Refusal) *teaseltack.Answer {
	answer := &teaseltack.Answer{Refusal: refusal}
	if refusal.Verdict == teaseltack.NotRun {
		answer.RetriesLeft = call.Retries
	}
	return answer
}

func (h *Home) serve(ctx context.Context, call *teaseltack.Call) *teaseltack.Answer {
	if !call.NonIdempotent {
		if !h.dedup.Add(call.Nonce, call.Deadline) {
			return refusedAnswer(call, teaseltack.Uncertain(teaseltack.ReasonDuplicate, "a copy of the call arrived before"))
		}
		return h.attempt(ctx, call, "")
	}
	key, expires, refusal := h.memoryKey(call)
	if refusal != nil {
		return refusedAnswer(call, refusal)
	}
	execution, refusal := h.cfg.Tickets.Begin(key, requestSum(call), expires)
	if refusal != nil {
		return refusedAnswer(call, refusal)
	}
	if execution != nil {
		return h.await(ctx, execution)
	}
	return h.runOnce(ctx, call, key)
}

// memoryKey names the request in the ticket table.
func (h *Home) memoryKey(call *teaseltack.Call) (teaseltack.Ticket, time.Time, *teaseltack.Refusal) {
	if call.Ticket == "" {
		return "nonce " + teaseltack.Ticket(call.Nonce), call.Deadline.Add(nonceMemory), nil
	}
	expires, refusal := h.cfg.Tickets.Check(call.Ticket, call.Target)
	return call.Ticket, expires, refusal
}

func (h *Home) await(ctx context.Context, execution *ticket.Execution) *teaseltack.Answer {
	select {
	case <-execution.Done:
		return execution.Result()
	case <-ctx.Done():
		return &teaseltack.Answer{Refusal: teaseltack.Uncertain(teaseltack.ReasonLifetime, "the first attempt still runs")}
	}
}

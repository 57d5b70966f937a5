// Package home runs calls at the local backend server. Every call to the server
// passes through this package, so the concurrency limit, load shedding,
// at-most-once execution and shutdown are decided on local state.
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
	// nestedTargetTTL is how long a target counts as called by a method after the
	// method's last call of it.
	nestedTargetTTL = 5 * time.Second
	// nonceRetention is how long a non-idempotent call without a ticket is kept
	// under its nonce after its deadline.
	nonceRetention = 10 * time.Second
)

// Config configures a Home.
type Config struct {
	Timers  teaseltack.Timers
	Host    teaseltack.HostID
	Gate    teaseltack.Gate
	Server  teaseltack.ServerClient
	Tickets *ticket.Table
	Scopes  *scope.Table
	// MarkedLeaving reports whether operators marked the host as leaving; it may be
	// nil. It is called on the goroutine of a call or of IssueTickets with the home's
	// lock held, so it must not call the home.
	MarkedLeaving func() bool
	// Origins detects the methods that only backend servers call, for calls that
	// carry no context token of their parent; it may be nil.
	Origins *origin.Table
	// NestedStats holds the statistics of the local server's nested calls; it may be
	// nil.
	NestedStats *nested.Stats
	// CheckRoute refuses a call that the configuration in force does not send to the
	// server; it may be nil. It is called on the goroutine of a call with the home's lock
	// held, so it must not call the home.
	CheckRoute func(*teaseltack.Call) *teaseltack.Refusal
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
	// idle is closed when inFlight drops to zero; nil while no caller of Idle waits.
	idle chan struct{}
}

// New returns a home without an announced server. It uses a periodic timer until
// Close.
func New(cfg Config) *Home {
	return &Home{cfg: cfg, dedup: dedup.New(dedup.Config{Timers: cfg.Timers})}
}

// Close stops the periodic timer.
func (h *Home) Close() {
	h.dedup.Close()
}

// SetServing sets the service that the server announced and whether the server
// accepts new calls.
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

// IssueTickets issues tickets for the target, unless the server accepts no new
// calls.
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
		return teaseltack.Refuse(teaseltack.ReasonNoServer, "no backend server has announced itself at host %s", h.cfg.Host)
	}
	if h.service != service {
		return teaseltack.Refuse(teaseltack.ReasonWrongHost, "host %s serves %s", h.cfg.Host, h.service)
	}
	if h.serving == teaseltack.Leaving || h.cfg.MarkedLeaving != nil && h.cfg.MarkedLeaving() {
		return teaseltack.Refuse(teaseltack.ReasonLeaving, "the backend server of host %s is leaving", h.cfg.Host)
	}
	return nil
}

// checkCall refuses a call that the server must not get.
func (h *Home) checkCall(call *teaseltack.Call) *teaseltack.Refusal {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.checkCallLocked(call)
}

func (h *Home) checkCallLocked(call *teaseltack.Call) *teaseltack.Refusal {
	if refusal := h.checkServingLocked(call.Target.Service); refusal != nil || h.cfg.CheckRoute == nil {
		return refusal
	}
	return h.cfg.CheckRoute(call)
}

// Serve runs one call and always returns an answer or a refusal, with this home's
// load.
func (h *Home) Serve(ctx context.Context, call *teaseltack.Call) *teaseltack.Answer {
	serversOnly := h.prioritizeServersOnly(call)
	started := h.cfg.Timers.Now()
	answer := h.serve(ctx, call)
	answer.ID = call.ID
	answer.Nonce = call.Nonce
	answer.Load = h.load(call.Target)
	answer.Load.ServersOnly = serversOnly
	h.recordDecision(call, answer, started)
	if call.NonIdempotent && h.checkServing(call.Target.Service) == nil {
		answer.FreshTicket = h.cfg.Tickets.Issue(call.Target)
	}
	return answer
}

func (h *Home) recordDecision(call *teaseltack.Call, answer *teaseltack.Answer, started time.Time) {
	if h.cfg.Decisions == nil {
		return
	}
	now := h.cfg.Timers.Now()
	d := &teaseltack.Decision{
		Step: teaseltack.StepRan, Part: "home", At: h.cfg.Host, Home: h.cfg.Host, ID: call.ID, Target: call.Target, Status: answer.Status,
		Verdict: answer.Verdict(), Remaining: call.Deadline.Sub(now), Elapsed: now.Sub(started), Work: answer.Work, Waited: answer.Waited,
		Load: answer.Load, Class: call.Priority.Class, Nested: call.Priority.Nested, Generation: call.Generation,
	}
	if answer.Refusal != nil {
		d.Step, d.Reason, d.Detail = teaseltack.StepBroke, answer.Refusal.Reason, answer.Refusal.Detail
		if answer.Refusal.Verdict == teaseltack.NotRun {
			d.Step = teaseltack.StepRefused
		}
	}
	h.cfg.Decisions.RecordDecision(d)
}

// prioritizeServersOnly makes a call of a method that only backend servers call a
// protected nested call, whatever class it came with, since it belongs to a request
// that has already started. It reports whether the method is such a method.
func (h *Home) prioritizeServersOnly(call *teaseltack.Call) bool {
	if h.cfg.Origins == nil || !h.cfg.Origins.Observe(call.Target.Method, call.Caller) {
		return false
	}
	call.Priority = teaseltack.Priority{Class: teaseltack.ClassProtected, Nested: true}
	return true
}

// nestedOutcome returns the queue wait of a call's nested calls and whether any of
// them failed. It combines the call's scope with the statistics of the local
// server's nested calls, whose parent call is not known.
func (h *Home) nestedOutcome(callScope *scope.Scope) (waited time.Duration, failed bool) {
	waited = time.Duration(callScope.NestedWait.Load())
	failed = callScope.NestedFailed.Load()
	if h.cfg.NestedStats != nil {
		waited += h.cfg.NestedStats.Wait()
		failed = failed || h.cfg.NestedStats.Failing()
	}
	return waited, failed
}

func (h *Home) load(target teaseltack.Target) teaseltack.Load {
	load := h.cfg.Gate.Load(target.Method)
	since := h.cfg.Timers.Now().Add(-nestedTargetTTL)
	for _, nestedTarget := range h.cfg.Scopes.NestedTargets(target, since) {
		load.NestedLevel = max(load.NestedLevel, h.cfg.Levels.Level(nestedTarget))
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
			return refusedAnswer(call, teaseltack.Uncertain(teaseltack.ReasonDuplicate, "a call with the same nonce was received before"))
		}
		return h.attempt(ctx, call, "")
	}
	key, expires, refusal := h.executionKey(call)
	if refusal != nil {
		return refusedAnswer(call, refusal)
	}
	if call.Again {
		return h.earlierAnswer(ctx, call, key)
	}
	execution, refusal := h.cfg.Tickets.Begin(key, requestChecksum(call), expires)
	if refusal != nil {
		return refusedAnswer(call, refusal)
	}
	if execution != nil {
		return h.awaitExecution(ctx, execution)
	}
	return h.runOnce(ctx, call, key)
}

// earlierAnswer returns the result of an earlier call with the same nonce, and runs
// nothing.
func (h *Home) earlierAnswer(ctx context.Context, call *teaseltack.Call, key teaseltack.Ticket) *teaseltack.Answer {
	execution, refusal := h.cfg.Tickets.Find(key, requestChecksum(call), call.HomeIncarnation)
	if refusal != nil {
		return refusedAnswer(call, refusal)
	}
	answer := h.awaitExecution(ctx, execution)
	answer.Earlier = true
	return answer
}

// executionKey returns the key of a non-idempotent request in the ticket table, and
// the key's expiry.
func (h *Home) executionKey(call *teaseltack.Call) (teaseltack.Ticket, time.Time, *teaseltack.Refusal) {
	if call.Ticket == "" {
		return "nonce " + teaseltack.Ticket(call.Nonce), call.Deadline.Add(nonceRetention), nil
	}
	expires, refusal := h.cfg.Tickets.Check(call.Ticket, call.Target)
	return call.Ticket, expires, refusal
}

// awaitExecution returns the result of the request's earlier attempt.
func (h *Home) awaitExecution(ctx context.Context, execution *ticket.Execution) *teaseltack.Answer {
	select {
	case <-execution.Done:
		return execution.Result()
	case <-ctx.Done():
		return &teaseltack.Answer{Refusal: teaseltack.Uncertain(teaseltack.ReasonLifetime, "the first attempt is still running")}
	}
}

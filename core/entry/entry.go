// Package entry forwards a received request to the home of a backend server: it
// applies the policy, sheds load, picks a home, retries within the request's retry
// quota and answers with a verdict.
package entry

import (
	"context"
	"sync"
	"time"

	"teaseltack"
	"teaseltack/core/budget"
	"teaseltack/core/claim"
	"teaseltack/core/home"
	"teaseltack/core/levels"
	"teaseltack/core/nested"
	"teaseltack/core/picker"
	"teaseltack/core/quota"
	"teaseltack/core/scope"
)

const (
	// reservedRetries is the number of retries that an entry keeps for itself
	// when it passes the others on with a call.
	reservedRetries = 1
	// maxMoves is the number of times that a call may move, without a retry,
	// away from a home that takes no new work or cannot reach its server.
	maxMoves = 3
	// maxMovesOnRefusal replaces maxMoves if Config.MoveOnRefusal allows moves
	// for further reasons.
	maxMovesOnRefusal = 6
	// maxTargets bounds the targets with a retry budget, and the known targets
	// that only backend servers call: callers can name any target before a
	// policy is in force.
	maxTargets = 10_000
	// retryShare is the default number of retries that each first attempt adds
	// to the retry budget of its target.
	retryShare = 0.1
	// retrySlack is the default number of retries that a budget's window allows
	// in addition to the share.
	retrySlack = 10
	// impliedNestedRetryCost is what the retry budget is charged for retrying a
	// call that may have run, if the call is not marked as nested but only
	// backend servers call its target.
	impliedNestedRetryCost = 4
	// pressureDelay is the Retry-After of a call that was shed at the root.
	pressureDelay = 200 * time.Millisecond
)

// Config configures an Entry.
type Config struct {
	Timers teaseltack.Timers
	Rand   teaseltack.RandSource
	Host   teaseltack.HostID
	// Service returns the service of the local backend server, which is sent to
	// homes as the caller's service. Nil stands for an unknown service. It is
	// called on the goroutine of each request.
	Service  func() teaseltack.Service
	Policies teaseltack.Policies
	// Router finds the new target of a request that was routed by an older configuration
	// than the one in force, before each attempt after the first; nil keeps the targets.
	Router teaseltack.Router
	Picker *picker.Picker
	Levels *levels.Table
	Scopes *scope.Table
	Homes  teaseltack.HomeClient
	// FindHost returns the record of any host, including one that takes no new
	// work. It is called on the goroutine of a request with a ticket; it may be
	// nil if no tickets are used.
	FindHost func(teaseltack.HostID) (teaseltack.Record, bool)
	// LocalHome is the home on this host, or nil.
	LocalHome *home.Home
	// Claims binds keys that come without a ticket; if nil, such requests are
	// refused.
	Claims *claim.Claims
	// EndsAt returns when the answers of this entry end, or the zero time if it is not
	// about to stop. Requests of callers that may last longer are refused. It is called on
	// the goroutine of each request; nil stands for an entry that never stops.
	EndsAt func() time.Time
	// Observer counts answers and retries; it may be nil.
	Observer Observer
	// RetryBudget bounds the retries to one target. If Share and Slack are
	// zero, a tenth of the target's calls plus ten may be retried in a window.
	RetryBudget budget.Config
	// MoveOnRefusal lets a call that a home, or the connection to it, refused
	// move to another home without using one of the request's retries, since
	// the server was not reached. A call that the server shed may move as well;
	// that is charged to the target's retry budget.
	MoveOnRefusal bool
	// RetryFailed retries an idempotent call once if the server itself
	// answered its first attempt with an error.
	RetryFailed bool
	// NestedStats observes the calls of the local backend server to methods
	// that homes report as called only by servers; it may be nil.
	NestedStats *nested.Stats
	// UncertainRetryCost is what the retry budget is charged for the retry of a
	// call that may have run; zero means one.
	UncertainRetryCost float64
	// Decisions records the decisions about each request; it may be nil.
	Decisions teaseltack.DecisionRecorder
	// NoOverloadControl allows the policy's number of retries at each entry, in
	// place of the quota that a request shares over all hops, and disables the
	// retry budget and load shedding. It serves as the baseline of measurements.
	NoOverloadControl bool
}

// Observer counts answers and retries. Its methods are called on the goroutine of
// the request.
type Observer interface {
	Answered(target teaseltack.Target, class teaseltack.Class, answer *teaseltack.Answer)
	Retried(target teaseltack.Target)
}

// Entry forwards requests. It is safe for concurrent use.
type Entry struct {
	cfg     Config
	mu      sync.Mutex
	budgets map[teaseltack.Target]*budget.Budget
	// serversOnly holds the targets that only backend servers call.
	serversOnly map[teaseltack.Target]bool
}

// New returns an entry.
func New(cfg Config) *Entry {
	if cfg.FindHost == nil {
		cfg.FindHost = func(teaseltack.HostID) (teaseltack.Record, bool) { return teaseltack.Record{}, false }
	}
	if cfg.EndsAt == nil {
		cfg.EndsAt = func() time.Time { return time.Time{} }
	}
	cfg.RetryBudget.Timers = cfg.Timers
	if cfg.UncertainRetryCost == 0 {
		cfg.UncertainRetryCost = 1
	}
	if cfg.RetryBudget.Share == 0 && cfg.RetryBudget.Slack == 0 {
		cfg.RetryBudget = budget.Config{Timers: cfg.Timers, Share: retryShare, Slack: retrySlack}
	}
	if cfg.Service == nil {
		cfg.Service = func() teaseltack.Service { return "" }
	}
	return &Entry{cfg: cfg, budgets: map[teaseltack.Target]*budget.Budget{}, serversOnly: map[teaseltack.Target]bool{}}
}

// UpdateHomes replaces the homes of each service.
func (e *Entry) UpdateHomes(records []teaseltack.Record, homes map[teaseltack.Service][]teaseltack.HostID) {
	e.cfg.Picker.Update(records)
	for service, hosts := range homes {
		e.cfg.Levels.SetHomes(service, hosts)
	}
}

// SetRetrySlack sets this entry's part of the fleet's slack: the retries per
// window that each target allows in addition to its share of calls.
func (e *Entry) SetRetrySlack(slack float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cfg.RetryBudget.Slack = slack
	for _, b := range e.budgets {
		b.SetSlack(slack)
	}
}

// Budgets returns the retries left for each target.
func (e *Entry) Budgets() map[teaseltack.Target]float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	left := make(map[teaseltack.Target]float64, len(e.budgets))
	for target, b := range e.budgets {
		left[target] = b.Left()
	}
	return left
}

// requestState is the state of one request while this entry serves it.
type requestState struct {
	call   teaseltack.Call
	policy teaseltack.Policy
	quota  *quota.Quota
	budget *budget.Budget
	parent *scope.Scope
	tried  []teaseltack.HostID
	// moves counts the homes that the call left without using a retry.
	moves int
	// earlierMayHaveRun is set if an earlier attempt by the caller may have
	// run.
	earlierMayHaveRun bool
	started           time.Time
	// home is the last home that the call was sent to.
	home teaseltack.HostID
	// impliedNested is set if the call is not marked as nested but only backend
	// servers call its target.
	impliedNested bool
	// mayHaveRun is set once an attempt by this entry may have run.
	mayHaveRun bool
}

// Serve answers one request. The answer always carries a verdict.
func (e *Entry) Serve(ctx context.Context, req *teaseltack.Request) *teaseltack.Answer {
	rs, refusal := e.prepare(req)
	if refusal != nil {
		if req.MayHaveRunEarlier() {
			refusal = refusal.AsUncertain()
		}
		answer := &teaseltack.Answer{ID: req.ID, Refusal: refusal}
		e.observeAnswer(req.Target, req.Class, answer)
		e.recordDecision(rs, req, answer, teaseltack.StepRefused)
		return answer
	}
	ctx, cancel := context.WithTimeout(ctx, rs.call.Deadline.Sub(e.cfg.Timers.Now()))
	defer cancel()
	if rs.parent != nil {
		stop := context.AfterFunc(rs.parent.Context, cancel)
		defer stop()
	}
	answer := e.serve(ctx, rs)
	e.finish(rs, answer)
	return answer
}

func (e *Entry) observeAnswer(target teaseltack.Target, class teaseltack.Class, answer *teaseltack.Answer) {
	if e.cfg.Observer != nil {
		e.cfg.Observer.Answered(target, class, answer)
	}
}

// finish returns unused retries to the parent, adds the call's queue wait and
// failure to the parent's scope and reports the answer.
func (e *Entry) finish(rs *requestState, answer *teaseltack.Answer) {
	left := rs.quota.Close()
	answer.RetriesLeft = left
	if rs.parent != nil {
		rs.parent.Quota.Return(left, left)
		rs.parent.NestedWait.Add(int64(answer.Waited))
		if answer.IsError() {
			rs.parent.NestedFailed.Store(true)
		}
	}
	if answer.Refusal != nil && rs.mayHaveRun {
		answer.Refusal = answer.Refusal.AsUncertain()
	}
	if e.cfg.NestedStats != nil && rs.impliedNested {
		e.cfg.NestedStats.Observe(nestedWait(answer), answer.IsError())
	}
	e.observeAnswer(rs.call.Target, rs.call.Priority.Class, answer)
	e.recordDecision(rs, nil, answer, finalStep(answer))
}

func (e *Entry) serve(ctx context.Context, rs *requestState) *teaseltack.Answer {
	rs.budget.RecordCall()
	if rs.policy.NonIdempotent && rs.call.Ticket != "" {
		return e.serveTicket(ctx, rs)
	}
	if rs.policy.NonIdempotent && rs.call.Key != "" {
		return e.serveKey(ctx, rs)
	}
	return e.serveAnyHome(ctx, rs)
}

// serveAnyHome sends the call to one home after another until a server answers,
// a refusal is final or the retries are used up.
func (e *Entry) serveAnyHome(ctx context.Context, rs *requestState) *teaseltack.Answer {
	var last *teaseltack.Answer
	for {
		record, ok := e.cfg.Picker.Pick(e.pickRequest(rs))
		if !ok && e.reroute(rs) {
			continue
		}
		if !ok {
			return lastOrNoServer(last, rs.call.Target)
		}
		answer := e.forward(ctx, record, rs)
		if answer.Refusal == nil && !e.tryFailedRetry(ctx, rs, answer) {
			return answer
		}
		if answer.Refusal != nil && !e.tryAnotherHome(ctx, rs, answer) {
			return answer
		}
		last = answer
		rs.tried = append(rs.tried, record.Host)
		rs.call.Nonce = e.nonce()
		e.reroute(rs)
	}
}

func lastOrNoServer(last *teaseltack.Answer, target teaseltack.Target) *teaseltack.Answer {
	if last != nil {
		return last
	}
	return &teaseltack.Answer{Refusal: teaseltack.Refuse(teaseltack.ReasonNoServer, "no server of %s takes new work", target.Service)}
}

// tryAnotherHome reports whether a refused call may go to another home. It
// counts the move or charges the retry.
func (e *Entry) tryAnotherHome(ctx context.Context, rs *requestState, answer *teaseltack.Answer) bool {
	if e.tryMove(ctx, rs, answer.Refusal) {
		e.recordDecision(rs, nil, answer, teaseltack.StepMoved)
		return true
	}
	if e.tryRetry(ctx, rs, answer.Refusal) {
		e.recordDecision(rs, nil, answer, teaseltack.StepRetried)
		return true
	}
	return false
}

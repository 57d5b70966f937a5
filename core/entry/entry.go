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
	// keptBack is the number of retries that an entry keeps for itself when it
	// moves the others down the chain.
	keptBack = 1
	// maxCorrections bounds the homes without new work that a call may meet
	// before another choice counts as a retry.
	maxCorrections = 3
	// maxMoves bounds them, and the servers that did not run the call, where moves
	// are free.
	maxMoves = 6
	// maxBudgets bounds the targets whose retries are counted; before any policy
	// is in force callers may name what they like.
	maxBudgets = 10_000
	// retryShare is the part of a retry that each first attempt at a target earns
	// by default.
	retryShare = 0.1
	// retrySlack is the number of retries that a window allows beside by default.
	retrySlack = 10
	// innerRepeatPrice is the price of a repeat that a server's call makes.
	innerRepeatPrice = 4
	// pressureDelay is the time after which a call shed at the root may try
	// again.
	pressureDelay = 200 * time.Millisecond
)

// Config configures an Entry.
type Config struct {
	Timers teaseltack.Timers
	Rand   teaseltack.RandSource
	Host   teaseltack.HostID
	// Service returns the service that runs on the host, which is sent to homes; it
	// may be nil.
	Service  func() teaseltack.Service
	Policies teaseltack.Policies
	Picker   *picker.Picker
	Levels   *levels.Table
	Scopes   *scope.Table
	Homes    teaseltack.HomeClient
	// FindHost returns the record of any host, including one that takes no new work;
	// it may be nil if no tickets are used.
	FindHost func(teaseltack.HostID) (teaseltack.Record, bool)
	// LocalHome is the home of the same host, or nil.
	LocalHome *home.Home
	// Claims binds bare keys; nil refuses them.
	Claims *claim.Claims
	// Observer counts answers and retries; it may be nil.
	Observer Observer
	// RetryBudget bounds the retries to one target; the zero value allows a tenth of
	// its calls plus ten.
	RetryBudget budget.Config
	// FreeMoves lets a call that a home refused before the dispatch go to another
	// home without a retry: the server was not reached.
	FreeMoves bool
	// RepeatFailed runs an idempotent call a second time when its server answered
	// with an error of its own.
	RepeatFailed bool
	// NestedStats observes the calls of the local backend server, if homes report
	// which methods only servers call; it may be nil.
	NestedStats *nested.Stats
	// RepeatCost is what a retry of a call that may have run takes from the retry
	// budget of its target; zero means one.
	RepeatCost float64
	// Decisions records the decisions about each request; it may be nil.
	Decisions teaseltack.DecisionRecorder
	// Unlimited disables the retry quota, the retry budget and load shedding, for the
	// baseline of a measurement.
	Unlimited bool
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
	// inner holds the targets that only backend servers call.
	inner map[teaseltack.Target]bool
}

// New returns an entry.
func New(cfg Config) *Entry {
	if cfg.FindHost == nil {
		cfg.FindHost = func(teaseltack.HostID) (teaseltack.Record, bool) { return teaseltack.Record{}, false }
	}
	cfg.RetryBudget.Timers = cfg.Timers
	if cfg.RepeatCost == 0 {
		cfg.RepeatCost = 1
	}
	if cfg.RetryBudget.Share == 0 && cfg.RetryBudget.Slack == 0 {
		cfg.RetryBudget = budget.Config{Timers: cfg.Timers, Share: retryShare, Slack: retrySlack}
	}
	if cfg.Service == nil {
		cfg.Service = func() teaseltack.Service { return "" }
	}
	return &Entry{cfg: cfg, budgets: map[teaseltack.Target]*budget.Budget{}, inner: map[teaseltack.Target]bool{}}
}

// UpdateHomes replaces the homes of each service.
func (e *Entry) UpdateHomes(records []teaseltack.Record, homes map[teaseltack.Service][]teaseltack.HostID) {
	e.cfg.Picker.Update(records)
	for service, hosts := range homes {
		e.cfg.Levels.SetHomes(service, hosts)
	}
}

// SetRetrySlack sets the retries that each target may have beside its share, as
// this entry's part of what all entries may spend.
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

// journey is one request on its way through this entry.
type journey struct {
	call   teaseltack.Call
	policy teaseltack.Policy
	quota  *quota.Quota
	budget *budget.Budget
	parent *scope.Scope
	tried  []teaseltack.HostID
	// corrections counts the homes that turned out to take no new work.
	corrections int
	// earlier is set if an earlier attempt of this request may have run.
	earlier bool
	// started is the time at which the request was received.
	started time.Time
	// home is the last home that got the call.
	home teaseltack.HostID
	// inner says that the local backend server made the call.
	inner bool
	// mayHaveRun is set once an attempt may have run.
	mayHaveRun bool
}

// Serve answers one request. The answer always carries a verdict.
func (e *Entry) Serve(ctx context.Context, a *teaseltack.Request) *teaseltack.Answer {
	j, refusal := e.prepare(a)
	if refusal != nil {
		if a.MayHaveRunEarlier() {
			refusal = refusal.AsUncertain()
		}
		answer := &teaseltack.Answer{ID: a.ID, Refusal: refusal}
		e.report(a.Target, a.Class, answer)
		e.record(j, a, answer, teaseltack.StepRefused)
		return answer
	}
	ctx, cancel := context.WithTimeout(ctx, j.call.Deadline.Sub(e.cfg.Timers.Now()))
	defer cancel()
	if j.parent != nil {
		stop := context.AfterFunc(j.parent.Context, cancel)
		defer stop()
	}
	answer := e.serve(ctx, j)
	e.finish(j, answer)
	return answer
}

func (e *Entry) report(target teaseltack.Target, class teaseltack.Class, answer *teaseltack.Answer) {
	if e.cfg.Observer != nil {
		e.cfg.Observer.Answered(target, class, answer)
	}
}

// finish gives unused retries back to the parent and notes its trouble.
func (e *Entry) finish(j *journey, answer *teaseltack.Answer) {
	left := j.quota.Close()
	answer.RetriesLeft = left
	if j.parent != nil {
		j.parent.Quota.Return(left, left)
		j.parent.NestedWait.Add(int64(answer.Waited))
		if answer.IsError() {
			j.parent.NestedFailed.Store(true)
		}
	}
	if answer.Refusal != nil && j.mayHaveRun {
		answer.Refusal = answer.Refusal.AsUncertain()
	}
	if e.cfg.NestedStats != nil && j.inner {
		e.cfg.NestedStats.Observe(waitOf(answer), answer.IsError())
	}
	e.report(j.call.Target, j.call.Priority.Class, answer)
	e.record(j, nil, answer, stepOf(answer))
}

func (e *Entry) serve(ctx context.Context, j *journey) *teaseltack.Answer {
	j.budget.Earn()
	if j.policy.NonIdempotent && j.call.Ticket != "" {
		return e.serveTicket(ctx, j)
	}
	if j.policy.NonIdempotent && j.call.Key != "" {
		return e.serveKey(ctx, j)
	}
	return e.serveAnywhere(ctx, j)
}

// serveAnywhere sends the call to one home after the other until an answer
// comes, the refusal is final or the retries are used up.
func (e *Entry) serveAnywhere(ctx context.Context, j *journey) *teaseltack.Answer {
	var last *teaseltack.Answer
	for {
		record, ok := e.cfg.Picker.Pick(e.pickRequest(j))
		if !ok {
			return orNoServer(last, j.call.Target)
		}
		answer := e.forward(ctx, record, j)
		if answer.Refusal == nil && !e.mayRunAgain(ctx, j, answer) {
			return answer
		}
		if answer.Refusal != nil && !e.goesOn(ctx, j, answer) {
			return answer
		}
		last = answer
		j.tried = append(j.tried, record.Host)
		j.call.Nonce = e.nonce()
	}
}

func orNoServer(last *teaseltack.Answer, target teaseltack.Target) *teaseltack.Answer {
	if last != nil {
		return last
	}
	return &teaseltack.Answer{Refusal: teaseltack.Refuse(teaseltack.ReasonNoServer, "no server of %s takes new work", target.Service)}
}

// goesOn reports whether the call may go to another home after a refusal.
func (e *Entry) goesOn(ctx context.Context, j *journey, answer *teaseltack.Answer) bool {
	if e.corrected(ctx, j, answer.Refusal) {
		e.record(j, nil, answer, teaseltack.StepMoved)
		return true
	}
	if e.mayRetry(ctx, j, answer.Refusal) {
		e.record(j, nil, answer, teaseltack.StepRetried)
		return true
	}
	return false
}

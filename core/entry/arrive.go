package entry

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"teaseltack"
	"teaseltack/core/budget"
	"teaseltack/core/quota"
)

// prepare sets up the state of a request. A root request gets the target's
// policy; a nested call inherits from its parent's scope.
func (e *Entry) prepare(req *teaseltack.Request) (*requestState, *teaseltack.Refusal) {
	req, policy, known := e.findPolicy(req)
	if !known {
		return nil, teaseltack.Refuse(teaseltack.ReasonUnknownTarget, "no policy for %s", req.Target)
	}
	rs := &requestState{policy: policy, earlierMayHaveRun: req.MayHaveRunEarlier(), budget: e.budget(req.Target), started: e.cfg.Timers.Now()}
	rs.call = teaseltack.Call{
		ID:            req.ID,
		Nonce:         e.nonce(),
		Target:        req.Target,
		Caller:        e.cfg.Service(),
		NonIdempotent: policy.NonIdempotent,
		CallerAttempt: req.CallerAttempt,
		Ticket:        req.Ticket,
		Key:           req.Key,
		Generation:    req.Generation,
		Payload:       req.Payload,
	}
	now := e.cfg.Timers.Now()
	lifetime := policy.Lifetime
	if req.Lifetime > 0 {
		lifetime = min(lifetime, req.Lifetime)
	}
	rs.call.Deadline = now.Add(lifetime)
	if req.Nested {
		e.inherit(rs, req, now)
		return rs, e.checkDeadline(rs, now)
	}
	if refusal := e.checkEnd(rs, now); refusal != nil {
		return rs, refusal
	}
	return rs, e.applyPolicy(rs, req)
}

// checkEnd refuses a request that may last longer than this entry, which would cut it
// without an answer. Nested calls are not refused: their parents run already.
func (e *Entry) checkEnd(rs *requestState, now time.Time) *teaseltack.Refusal {
	end := e.cfg.EndsAt()
	if end.IsZero() || !rs.call.Deadline.After(end) {
		return nil
	}
	return teaseltack.Refuse(teaseltack.ReasonNotReady, "this daemon stops in %v, the request may last %v", end.Sub(now), rs.call.Deadline.Sub(now))
}

func (e *Entry) checkDeadline(rs *requestState, now time.Time) *teaseltack.Refusal {
	if !now.Before(rs.call.Deadline) {
		return teaseltack.Refuse(teaseltack.ReasonLifetime, "the parent call has no time left")
	}
	return nil
}

// inherit copies class, rank and deadline from the parent's scope and moves
// half of the parent's retries to the nested call. A nested call whose parent
// is unknown gets the lowest class and no retries.
func (e *Entry) inherit(rs *requestState, req *teaseltack.Request, now time.Time) {
	rs.call.Priority = teaseltack.Priority{Class: teaseltack.ClassLow, Nested: true}
	rs.parent = e.cfg.Scopes.Find(req.Parent)
	if rs.parent == nil {
		rs.quota = quota.New(0)
		return
	}
	e.cfg.Scopes.RecordNested(rs.parent.Target, req.Target, now)
	rs.call.ID = rs.parent.ID
	rs.call.Priority = rs.parent.Priority
	rs.call.Priority.Nested = true
	if rs.parent.Deadline.Before(rs.call.Deadline) {
		rs.call.Deadline = rs.parent.Deadline
	}
	rs.quota = quota.New(rs.parent.Quota.TakeHalf())
}

// applyPolicy sets the class and retries of a root request and refuses
// requested values above the policy's. The caller's own repeats get no retries.
func (e *Entry) applyPolicy(rs *requestState, req *teaseltack.Request) *teaseltack.Refusal {
	class := rs.policy.Class
	if req.ClassSet {
		if req.Class > class {
			return teaseltack.Refuse(teaseltack.ReasonBadRequest, "class is %s, the policy allows classes up to %s", req.Class, class)
		}
		class = req.Class
	}
	retries := rs.policy.Retries
	if req.Retries > retries {
		return teaseltack.Refuse(teaseltack.ReasonBadRequest, "retries is %d, the policy allows 0 to %d", req.Retries, retries)
	}
	if req.Retries >= 0 {
		retries = req.Retries
	}
	if req.CallerAttempt > 0 {
		retries = 0
	}
	rs.quota = quota.New(retries)
	rs.call.Priority = teaseltack.Priority{Class: class, Rank: uint32(xxhash.Sum64String(string(req.ID)))}
	if rs.impliedNested = e.isServersOnly(req.Target); rs.impliedNested {
		// The call belongs to a request that has already started, so it is not
		// shed here.
		return nil
	}
	return e.shed(rs)
}

// shed refuses a root request that its target, or a service that the target
// calls, would refuse.
func (e *Entry) shed(rs *requestState) *teaseltack.Refusal {
	if e.cfg.NoOverloadControl {
		return nil
	}
	level := e.cfg.Levels.Level(rs.call.Target)
	if rs.call.Priority.Bucket() >= level {
		return nil
	}
	refusal := teaseltack.Refuse(teaseltack.ReasonPressure, "admission level is %d, the call's priority bucket is %d", level, rs.call.Priority.Bucket())
	refusal.RetryAfter = pressureDelay
	return refusal
}

// budget returns the retry budget of a target. At maxTargets all budgets are
// dropped and start anew.
func (e *Entry) budget(target teaseltack.Target) *budget.Budget {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.budgets) >= maxTargets {
		clear(e.budgets)
	}
	b := e.budgets[target]
	if b == nil {
		b = budget.New(e.cfg.RetryBudget)
		e.budgets[target] = b
	}
	return b
}

func (e *Entry) nonce() teaseltack.Nonce {
	return teaseltack.Nonce(strconv.FormatUint(e.cfg.Rand.Uint64(), 36))
}

package entry

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"teaseltack"
	"teaseltack/core/budget"
	"teaseltack/core/quota"
)

// prepare applies the policy or the parent's context to a request.
func (e *Entry) prepare(a *teaseltack.Request) (*journey, *teaseltack.Refusal) {
	policy, known := e.cfg.Policies.Policy(a.Target)
	if !known {
		return nil, teaseltack.Refuse(teaseltack.ReasonUnknownTarget, "no policy for %s", a.Target)
	}
	j := &journey{policy: policy, earlier: a.MayHaveRunEarlier(), budget: e.budget(a.Target), started: e.cfg.Timers.Now()}
	j.call = teaseltack.Call{
		ID:            a.ID,
		Nonce:         e.nonce(),
		Target:        a.Target,
		Caller:        e.cfg.Service(),
		NonIdempotent: policy.NonIdempotent,
		Attempt:       a.Attempt,
		Ticket:        a.Ticket,
		Key:           a.Key,
		Payload:       a.Payload,
	}
	now := e.cfg.Timers.Now()
	lifetime := policy.Lifetime
	if a.Lifetime > 0 {
		lifetime = min(lifetime, a.Lifetime)
	}
	j.call.Deadline = now.Add(lifetime)
	if a.Nested {
		e.inherit(j, a, now)
		return j, e.checkTime(j, now)
	}
	refusal := e.applyRoot(j, a)
	return j, refusal
}

func (e *Entry) checkTime(j *journey, now time.Time) *teaseltack.Refusal {
	if !now.Before(j.call.Deadline) {
		return teaseltack.Refuse(teaseltack.ReasonLifetime, "the parent call has no time left")
	}
	return nil
}

// inherit takes class, rank, lifetime and retries from the parent's scope. A
// nested call whose parent is unknown gets the lowest class and no retries.
func (e *Entry) inherit(j *journey, a *teaseltack.Request, now time.Time) {
	j.call.Priority = teaseltack.Priority{Class: teaseltack.ClassLow, Nested: true}
	j.parent = e.cfg.Scopes.Find(a.Parent)
	if j.parent == nil {
		j.quota = quota.New(0)
		return
	}
	e.cfg.Scopes.RecordNested(j.parent.Target, a.Target, now)
	j.call.ID = j.parent.ID
	j.call.Priority = j.parent.Priority
	j.call.Priority.Nested = true
	if j.parent.Deadline.Before(j.call.Deadline) {
		j.call.Deadline = j.parent.Deadline
	}
	j.quota = quota.New(j.parent.Quota.TakeHalf())
}

// applyRoot checks what the caller claims against the policy.
func (e *Entry) applyRoot(j *journey, a *teaseltack.Request) *teaseltack.Refusal {
	class := j.policy.Class
	if a.ClassSet {
		if a.Class > class {
			return teaseltack.Refuse(teaseltack.ReasonBadRequest, "class is %s, allowed are classes up to %s", a.Class, class)
		}
		class = a.Class
	}
	retries := j.policy.Retries
	if a.Retries > retries {
		return teaseltack.Refuse(teaseltack.ReasonBadRequest, "retries is %d, allowed is 0 to %d", a.Retries, retries)
	}
	if a.Retries >= 0 {
		retries = a.Retries
	}
	if a.Attempt > 0 {
		retries = 0
	}
	j.quota = quota.New(retries)
	j.call.Priority = teaseltack.Priority{Class: class, Rank: uint32(xxhash.Sum64String(string(a.ID)))}
	if j.inner = e.isInner(a.Target); j.inner {
		return nil
	}
	return e.shed(j)
}

// shed refuses at the root what the target or a service below it would refuse.
func (e *Entry) shed(j *journey) *teaseltack.Refusal {
	if e.cfg.Unlimited {
		return nil
	}
	level := e.cfg.Levels.Level(j.call.Target)
	if j.call.Priority.Bucket() >= level {
		return nil
	}
	refusal := teaseltack.Refuse(teaseltack.ReasonPressure, "admission level is %d, the call's is %d", level, j.call.Priority.Bucket())
	refusal.RetryAfter = pressureDelay
	return refusal
}

func (e *Entry) budget(target teaseltack.Target) *budget.Budget {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.budgets) >= maxBudgets {
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

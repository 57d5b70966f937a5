package entry

import (
	"context"

	"teaseltack"
)

// corrected reports whether the home took no new work, which a stale view of the
// membership caused. Nothing was queued or run, so choosing anew is no retry.
func (e *Entry) corrected(ctx context.Context, j *journey, refusal *teaseltack.Refusal) bool {
	if refusal.Verdict != teaseltack.NotRun || ctx.Err() != nil || j.corrections >= e.mostCorrections() {
		return false
	}
	if !takesNoWork(refusal.Reason) && !e.movesFree(j, refusal) {
		return false
	}
	j.corrections++
	return true
}

func (e *Entry) mostCorrections() int {
	if e.cfg.FreeMoves {
		return maxMoves
	}
	return maxCorrections
}

// movesFree reports whether the call may go to another home: its home, or the way
// to it, refused it before the server was reached, or the server did not run it
// and the budget of the target allows another attempt.
func (e *Entry) movesFree(j *journey, refusal *teaseltack.Refusal) bool {
	if !e.cfg.FreeMoves {
		return false
	}
	switch refusal.Reason {
	case teaseltack.ReasonConnection, teaseltack.ReasonNotReady:
		return true
	case teaseltack.ReasonServerShed:
		return j.budget.Spend(1)
	case teaseltack.ReasonOverload, teaseltack.ReasonEvicted:
		return !e.wholeServiceSheds(j, refusal)
	}
	return false
}

// mayRetry decides on one more attempt and pays for it.
func (e *Entry) mayRetry(ctx context.Context, j *journey, refusal *teaseltack.Refusal) bool {
	if j.policy.NonIdempotent && refusal.Verdict != teaseltack.NotRun {
		return false
	}
	if refusal.Verdict == teaseltack.Ran || isFinal(refusal.Reason) {
		return false
	}
	if ctx.Err() != nil || !e.cfg.Timers.Now().Before(j.call.Deadline) {
		return false
	}
	return e.payRetry(j, refusal)
}

func isFinal(reason teaseltack.Reason) bool {
	switch reason {
	case teaseltack.ReasonBadRequest, teaseltack.ReasonTooLarge, teaseltack.ReasonLifetime, teaseltack.ReasonCancelled,
		teaseltack.ReasonTicketInvalid, teaseltack.ReasonKeyMismatch, teaseltack.ReasonUnknownTarget:
		return true
	}
	return false
}

func (e *Entry) payRetry(j *journey, refusal *teaseltack.Refusal) bool {
	if !e.canPay(j, refusal) {
		return false
	}
	if e.cfg.Observer != nil {
		e.cfg.Observer.Retried(j.call.Target)
	}
	return true
}

// canPay takes the price of a retry from the request's quota and from the
// target's budget.
func (e *Entry) canPay(j *journey, refusal *teaseltack.Refusal) bool {
	if e.cfg.Unlimited {
		return len(j.tried) < int(j.policy.Retries)
	}
	if e.wholeServiceSheds(j, refusal) {
		return false
	}
	return j.quota.Left() > 0 && j.budget.Spend(e.price(j, refusal)) && j.quota.Spend()
}

// wholeServiceSheds reports that another home would shed the call as well.
func (e *Entry) wholeServiceSheds(j *journey, refusal *teaseltack.Refusal) bool {
	if refusal.Reason != teaseltack.ReasonOverload && refusal.Reason != teaseltack.ReasonEvicted {
		return false
	}
	return e.cfg.Levels.Level(j.call.Target) > j.call.Priority.Bucket()
}

// mayRunAgain pays for one more run of an idempotent call that its server failed
// by itself.
func (e *Entry) mayRunAgain(ctx context.Context, j *journey, answer *teaseltack.Answer) bool {
	if !e.cfg.RepeatFailed || !answer.Faulty || j.policy.NonIdempotent || len(j.tried) > 0 {
		return false
	}
	if ctx.Err() != nil || !e.cfg.Timers.Now().Before(j.call.Deadline) {
		return false
	}
	return e.payRetry(j, &teaseltack.Refusal{})
}

// price is what a retry takes from its target's budget. A call that may have run
// made its own calls, which count as repeats at the services below it.
func (e *Entry) price(j *journey, refusal *teaseltack.Refusal) float64 {
	switch {
	case refusal.Verdict == teaseltack.NotRun:
		return 1
	case j.inner:
		return innerRepeatPrice
	}
	return e.cfg.RepeatCost
}

package entry

import (
	"context"

	"teaseltack"
)

// mayMove reports whether the call may go to another home without using a
// retry, and counts the move. A home that takes no new work was picked from an
// outdated view of the membership; it neither queued nor ran the call.
func (e *Entry) mayMove(ctx context.Context, rs *requestState, refusal *teaseltack.Refusal) bool {
	if refusal.Verdict != teaseltack.NotRun || ctx.Err() != nil || rs.moves >= e.moveLimit() {
		return false
	}
	if !cannotServe(refusal.Reason) && !e.isFreeMove(rs, refusal) {
		return false
	}
	rs.moves++
	return true
}

func (e *Entry) moveLimit() int {
	if e.cfg.FreeMoves {
		return maxFreeMoves
	}
	return maxMoves
}

// isFreeMove reports whether Config.FreeMoves allows the move: the call was
// refused before it reached the server and not every home of the service sheds
// it, or the server shed it and the target's retry budget covers another
// attempt.
func (e *Entry) isFreeMove(rs *requestState, refusal *teaseltack.Refusal) bool {
	if !e.cfg.FreeMoves {
		return false
	}
	switch refusal.Reason {
	case teaseltack.ReasonConnection, teaseltack.ReasonNotReady:
		return true
	case teaseltack.ReasonServerShed:
		return rs.budget.Spend(1)
	case teaseltack.ReasonOverload, teaseltack.ReasonEvicted:
		return !e.wholeServiceSheds(rs, refusal)
	}
	return false
}

// mayRetry reports whether the call may be retried, and charges the retry.
func (e *Entry) mayRetry(ctx context.Context, rs *requestState, refusal *teaseltack.Refusal) bool {
	if rs.policy.NonIdempotent && refusal.Verdict != teaseltack.NotRun {
		return false
	}
	if refusal.Verdict == teaseltack.Ran || isFinal(refusal.Reason) {
		return false
	}
	if ctx.Err() != nil || !e.cfg.Timers.Now().Before(rs.call.Deadline) {
		return false
	}
	return e.spendRetry(rs, refusal)
}

func isFinal(reason teaseltack.Reason) bool {
	switch reason {
	case teaseltack.ReasonBadRequest, teaseltack.ReasonTooLarge, teaseltack.ReasonLifetime, teaseltack.ReasonCancelled,
		teaseltack.ReasonTicketInvalid, teaseltack.ReasonKeyMismatch, teaseltack.ReasonUnknownTarget:
		return true
	}
	return false
}

func (e *Entry) spendRetry(rs *requestState, refusal *teaseltack.Refusal) bool {
	if !e.takeRetry(rs, refusal) {
		return false
	}
	if e.cfg.Observer != nil {
		e.cfg.Observer.Retried(rs.call.Target)
	}
	return true
}

// takeRetry takes a retry from the request's quota and its cost from the
// target's budget.
func (e *Entry) takeRetry(rs *requestState, refusal *teaseltack.Refusal) bool {
	if e.cfg.Unlimited {
		return len(rs.tried) < int(rs.policy.Retries)
	}
	if e.wholeServiceSheds(rs, refusal) {
		return false
	}
	return rs.quota.Left() > 0 && rs.budget.Spend(e.retryCost(rs, refusal)) && rs.quota.Spend()
}

// wholeServiceSheds reports whether the call was shed and any other home of the
// service would shed it too.
func (e *Entry) wholeServiceSheds(rs *requestState, refusal *teaseltack.Refusal) bool {
	if refusal.Reason != teaseltack.ReasonOverload && refusal.Reason != teaseltack.ReasonEvicted {
		return false
	}
	return e.cfg.Levels.Level(rs.call.Target) > rs.call.Priority.Bucket()
}

// mayRepeatFailed reports whether an idempotent call that its server failed may
// run once more, and charges the retry.
func (e *Entry) mayRepeatFailed(ctx context.Context, rs *requestState, answer *teaseltack.Answer) bool {
	if !e.cfg.RepeatFailed || !answer.Faulty || rs.policy.NonIdempotent || len(rs.tried) > 0 {
		return false
	}
	if ctx.Err() != nil || !e.cfg.Timers.Now().Before(rs.call.Deadline) {
		return false
	}
	return e.spendRetry(rs, &teaseltack.Refusal{})
}

// retryCost returns what a retry takes from its target's budget. A call that
// may have run has made nested calls, which a retry repeats at the services
// below.
func (e *Entry) retryCost(rs *requestState, refusal *teaseltack.Refusal) float64 {
	switch {
	case refusal.Verdict == teaseltack.NotRun:
		return 1
	case rs.inner:
		return innerRepeatCost
	}
	return e.cfg.RepeatCost
}

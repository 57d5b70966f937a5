package entry

import (
	"context"

	"teaseltack"
)

// tryMove reports whether the call may go to another home without using a
// retry, and counts the move. A home that takes no new work was picked from an
// outdated view of the membership. Neither it nor a home whose server cannot be
// reached ran the call, so picking another home is not a retry.
func (e *Entry) tryMove(ctx context.Context, rs *requestState, refusal *teaseltack.Refusal) bool {
	if refusal.Verdict != teaseltack.NotRun || ctx.Err() != nil || rs.moves >= e.moveLimit() {
		return false
	}
	if !cannotServe(refusal.Reason) && !e.tryMoveOnRefusal(rs, refusal) {
		return false
	}
	rs.moves++
	return true
}

func (e *Entry) moveLimit() int {
	if e.cfg.MoveOnRefusal {
		return maxMovesOnRefusal
	}
	return maxMoves
}

// tryMoveOnRefusal reports whether Config.MoveOnRefusal allows the move of a call
// that did not run: the connection to the home was lost, the home was not ready, the home
// has a newer configuration than the one that routed the call and so has this entry by now,
// the home shed the call and the service as a whole would not, or the server shed
// it and the target's retry budget covers another attempt, which is charged.
func (e *Entry) tryMoveOnRefusal(rs *requestState, refusal *teaseltack.Refusal) bool {
	if !e.cfg.MoveOnRefusal {
		return false
	}
	switch refusal.Reason {
	case teaseltack.ReasonConnection, teaseltack.ReasonNotReady:
		return true
	case teaseltack.ReasonServerShed:
		return rs.budget.Spend(1)
	case teaseltack.ReasonOverload, teaseltack.ReasonEvicted:
		return !e.wholeServiceSheds(rs, refusal)
	case teaseltack.ReasonConfiguration:
		return e.isOutdated(rs)
	}
	return false
}

// tryRetry reports whether the call may be retried, and charges the retry.
func (e *Entry) tryRetry(ctx context.Context, rs *requestState, refusal *teaseltack.Refusal) bool {
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
		teaseltack.ReasonTicketInvalid, teaseltack.ReasonKeyMismatch, teaseltack.ReasonUnknownTarget,
		teaseltack.ReasonConfiguration:
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
	if e.cfg.NoOverloadControl {
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

// tryFailedRetry reports whether an idempotent call whose first attempt the
// server itself answered with an error may run once more, and charges the retry.
func (e *Entry) tryFailedRetry(ctx context.Context, rs *requestState, answer *teaseltack.Answer) bool {
	if !e.cfg.RetryFailed || !answer.Faulty || rs.policy.NonIdempotent || len(rs.tried) > 0 {
		return false
	}
	if ctx.Err() != nil || !e.cfg.Timers.Now().Before(rs.call.Deadline) {
		return false
	}
	if !e.spendRetry(rs, &teaseltack.Refusal{}) {
		return false
	}
	rs.mayHaveRun = true
	return true
}

// retryCost returns what a retry takes from its target's budget. A call that
// may have run may have made nested calls, which a retry makes again.
func (e *Entry) retryCost(rs *requestState, refusal *teaseltack.Refusal) float64 {
	switch {
	case refusal.Verdict == teaseltack.NotRun:
		return 1
	case rs.impliedNested:
		return impliedNestedRetryCost
	}
	return e.cfg.UncertainRetryCost
}

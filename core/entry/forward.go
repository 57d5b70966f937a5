package entry

import (
	"context"
	"time"

	"teaseltack"
	"teaseltack/core/picker"
)

func (e *Entry) pickRequest(rs *requestState) picker.Request {
	return picker.Request{
		Service:       rs.call.Target.Service,
		Method:        rs.call.Target.Method,
		Bucket:        rs.call.Priority.Bucket(),
		Tried:         rs.tried,
		Objective:     rs.policy.Objective,
		PreferProbe:   !rs.call.NonIdempotent,
		AvoidShedding: len(rs.tried) > 0 && rs.call.Priority.Class != teaseltack.ClassProtected && !e.cfg.NoOverloadControl,
	}
}

// forward sends the call to one home and passes on all but the reserved
// retries.
func (e *Entry) forward(ctx context.Context, record teaseltack.Record, rs *requestState) *teaseltack.Answer {
	rs.home = record.Host
	call := rs.call
	call.Retries = rs.quota.TakeAllBut(reservedRetries)
	started := e.cfg.Timers.Now()
	answer, err := e.send(ctx, record, &call)
	if err == nil && (answer.ID != call.ID || answer.Nonce != call.Nonce) {
		err = teaseltack.Uncertain(teaseltack.ReasonAnswerMismatch, "host %s sent the answer of another call", record.Host)
	}
	if err != nil {
		return e.noAnswer(ctx, record, rs, &call, err)
	}
	rs.quota.Return(answer.RetriesLeft, call.Retries)
	e.recordAnswer(ctx, record, &call, answer, e.cfg.Timers.Now().Sub(started))
	if answer.Refusal != nil && answer.Refusal.Verdict != teaseltack.NotRun {
		rs.mayHaveRun = true
	}
	return answer
}

func (e *Entry) send(ctx context.Context, record teaseltack.Record, call *teaseltack.Call) (*teaseltack.Answer, error) {
	if record.Host == e.cfg.Host && e.cfg.LocalHome != nil {
		return e.cfg.LocalHome.Serve(ctx, call), nil
	}
	return e.cfg.Homes.Forward(ctx, record, call)
}

// noAnswer returns the refusal for a call that got no answer of its home, or the
// answer of another call. The retries sent with the call count as spent, unless
// the verdict is NotRun.
func (e *Entry) noAnswer(ctx context.Context, record teaseltack.Record, rs *requestState, call *teaseltack.Call, err error) *teaseltack.Answer {
	refusal := teaseltack.AsRefusal(err)
	if refusal.Verdict == teaseltack.NotRun {
		rs.quota.Return(call.Retries, call.Retries)
	}
	if refusal.Verdict != teaseltack.NotRun || rs.earlierMayHaveRun {
		rs.mayHaveRun = true
	}
	result := picker.Failed
	if ctx.Err() == context.Canceled {
		result = picker.Ignored
	}
	e.cfg.Picker.Done(record, picker.DoneInfo{Result: result})
	return &teaseltack.Answer{ID: call.ID, Nonce: call.Nonce, Refusal: refusal}
}

func (e *Entry) recordAnswer(ctx context.Context, record teaseltack.Record, call *teaseltack.Call, answer *teaseltack.Answer, took time.Duration) {
	e.cfg.Levels.Observe(call.Target, record.Host, answer.Load)
	e.recordServersOnly(call.Target, answer.Load.ServersOnly)
	e.cfg.Picker.Done(record, picker.DoneInfo{
		Result: pickerResult(ctx, answer), Load: &answer.Load, Method: call.Target.Method,
		Elapsed: took, Work: answer.Work, Waited: answer.Waited,
	})
}

func pickerResult(ctx context.Context, answer *teaseltack.Answer) picker.Result {
	switch {
	case answer.Refusal == nil && !answer.Faulty:
		return picker.Answered
	case answer.Refusal != nil && answer.Refusal.Reason == teaseltack.ReasonConfiguration:
		return picker.Ignored
	case answer.Refusal != nil && answer.Refusal.Verdict == teaseltack.NotRun && cannotServe(answer.Refusal.Reason):
		return picker.CannotServe
	case answer.Refusal != nil && answer.Refusal.Reason == teaseltack.ReasonServerShed:
		return picker.Shed
	case answer.Refusal != nil && answer.Refusal.Verdict == teaseltack.NotRun:
		return picker.Refused
	case ctx.Err() == context.Canceled:
		return picker.Ignored
	}
	return picker.Failed
}

// cannotServe reports whether a home refuses with this reason because its
// server cannot be called at all.
func cannotServe(reason teaseltack.Reason) bool {
	switch reason {
	case teaseltack.ReasonLeaving, teaseltack.ReasonNoServer, teaseltack.ReasonWrongHost, teaseltack.ReasonServer:
		return true
	}
	return false
}

// refusedNestedWait is the queue wait counted for a nested call that was refused
// with the verdict NotRun, which is taken as a lack of capacity at the called
// service.
const refusedNestedWait = 500 * time.Millisecond

// nestedWait returns the queue wait to count for a nested call.
func nestedWait(answer *teaseltack.Answer) time.Duration {
	if answer.Refusal != nil && answer.Refusal.Verdict == teaseltack.NotRun {
		return refusedNestedWait
	}
	return answer.Waited
}

func (e *Entry) recordServersOnly(target teaseltack.Target, serversOnly bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if serversOnly == e.serversOnly[target] {
		return
	}
	if !serversOnly || len(e.serversOnly) >= maxTargets {
		delete(e.serversOnly, target)
		return
	}
	e.serversOnly[target] = true
}

func (e *Entry) isServersOnly(target teaseltack.Target) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.serversOnly[target]
}

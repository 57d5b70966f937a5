package entry

import (
	"context"
	"time"

	"teaseltack"
	"teaseltack/core/picker"
)

func (e *Entry) pickRequest(j *journey) picker.Request {
	return picker.Request{
		Service:       j.call.Target.Service,
		Method:        j.call.Target.Method,
		Bucket:        j.call.Priority.Bucket(),
		Tried:         j.tried,
		Objective:     j.policy.Objective,
		Probe:         !j.call.NonIdempotent,
		AvoidShedding: len(j.tried) > 0 && j.call.Priority.Class != teaseltack.ClassProtected && !e.cfg.Unlimited,
	}
}

// forward hands the call to one home and moves the retries with it.
func (e *Entry) forward(ctx context.Context, record teaseltack.Record, j *journey) *teaseltack.Answer {
	j.home = record.Host
	call := j.call
	call.Retries = j.quota.TakeAllBut(keptBack)
	started := e.cfg.Timers.Now()
	answer, err := e.hand(ctx, record, &call)
	if err == nil && (answer.ID != call.ID || answer.Nonce != call.Nonce) {
		err = teaseltack.Uncertain(teaseltack.ReasonAnswerMismatch, "host %s answered another call", record.Host)
	}
	if err != nil {
		return e.lost(ctx, record, j, &call, err)
	}
	j.quota.Return(answer.RetriesLeft, call.Retries)
	e.learn(ctx, record, &call, answer, e.cfg.Timers.Now().Sub(started))
	if answer.Refusal != nil && answer.Refusal.Verdict != teaseltack.NotRun {
		j.mayHaveRun = true
	}
	return answer
}

func (e *Entry) hand(ctx context.Context, record teaseltack.Record, call *teaseltack.Call) (*teaseltack.Answer, error) {
	if record.Host == e.cfg.Host && e.cfg.LocalHome != nil {
		return e.cfg.LocalHome.Serve(ctx, call), nil
	}
	return e.cfg.Homes.Forward(ctx, record, call)
}

// lost makes an answer of a call that got no word of its home. Its retries are
// lost with it unless no byte was handed over.
func (e *Entry) lost(ctx context.Context, record teaseltack.Record, j *journey, call *teaseltack.Call, err error) *teaseltack.Answer {
	refusal := teaseltack.AsRefusal(err)
	if refusal.Verdict == teaseltack.NotRun {
		j.quota.Return(call.Retries, call.Retries)
	}
	if refusal.Verdict != teaseltack.NotRun || j.earlier {
		j.mayHaveRun = true
	}
	result := picker.Failed
	if ctx.Err() == context.Canceled {
		result = picker.Abandoned
	}
	e.cfg.Picker.Done(record, picker.DoneInfo{Result: result})
	return &teaseltack.Answer{ID: call.ID, Nonce: call.Nonce, Refusal: refusal}
}

func (e *Entry) learn(ctx context.Context, record teaseltack.Record, call *teaseltack.Call, answer *teaseltack.Answer, took time.Duration) {
	e.cfg.Levels.Observe(call.Target, record.Host, answer.Load)
	e.learnInner(call.Target, answer.Load.Inner)
	e.cfg.Picker.Done(record, picker.DoneInfo{
		Result: resultOf(ctx, answer), Load: &answer.Load, Method: call.Target.Method,
		Elapsed: took, Work: answer.Work, Waited: answer.Waited,
	})
}

func resultOf(ctx context.Context, answer *teaseltack.Answer) picker.Result {
	switch {
	case answer.Refusal == nil && !answer.Faulty:
		return picker.Answered
	case answer.Refusal != nil && answer.Refusal.Verdict == teaseltack.NotRun && takesNoWork(answer.Refusal.Reason):
		return picker.Leaving
	case answer.Refusal != nil && answer.Refusal.Reason == teaseltack.ReasonServerShed:
		return picker.Shed
	case answer.Refusal != nil && answer.Refusal.Verdict == teaseltack.NotRun:
		return picker.Refused
	case ctx.Err() == context.Canceled:
		return picker.Abandoned
	}
	return picker.Failed
}

// takesNoWork reports whether a home gave the reason because its server cannot
// be called at all.
func takesNoWork(reason teaseltack.Reason) bool {
	switch reason {
	case teaseltack.ReasonLeaving, teaseltack.ReasonNoServer, teaseltack.ReasonWrongHost, teaseltack.ReasonServer:
		return true
	}
	return false
}

// refusedWait is the wait that a call refused below for lack of room stands for.
const refusedWait = 500 * time.Millisecond

// waitOf returns how long a nested call waited in queues.
func waitOf(answer *teaseltack.Answer) time.Duration {
	if answer.Refusal != nil && answer.Refusal.Verdict == teaseltack.NotRun {
		return refusedWait
	}
	return answer.Waited
}

func (e *Entry) learnInner(target teaseltack.Target, inner bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if inner == e.inner[target] {
		return
	}
	if !inner || len(e.inner) >= maxBudgets {
		delete(e.inner, target)
		return
	}
	e.inner[target] = true
}

func (e *Entry) isInner(target teaseltack.Target) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inner[target]
}

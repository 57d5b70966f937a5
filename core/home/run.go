package home

import (
	"context"
	"crypto/sha256"
	"encoding/binary"

	"teaseltack"
	"teaseltack/core/quota"
	"teaseltack/core/scope"
)

// runOnce runs the first attempt of a request that the ticket table tracks. A
// dispatched request keeps running after its caller disconnects, so that a later
// attempt gets its answer.
func (h *Home) runOnce(ctx context.Context, call *teaseltack.Call, key teaseltack.Ticket) *teaseltack.Answer {
	done := make(chan *teaseltack.Answer, 1)
	go func() {
		answer := h.attempt(ctx, call, key)
		h.cfg.Tickets.Finish(key, answer)
		done <- answer
	}()
	select {
	case answer := <-done:
		return answer
	case <-ctx.Done():
	}
	select {
	case answer := <-done:
		return answer
	default:
		return &teaseltack.Answer{Refusal: teaseltack.Uncertain(teaseltack.ReasonCancelled, "the call was cancelled or its time ended before the request was answered")}
	}
}

// attempt waits for admission, repeats the checks whose result may have changed
// during the wait, and dispatches the call.
func (h *Home) attempt(ctx context.Context, call *teaseltack.Call, key teaseltack.Ticket) *teaseltack.Answer {
	if refusal := h.checkCall(call); refusal != nil {
		return refusedAnswer(call, refusal)
	}
	w, refusal := h.awaitAdmission(ctx, call)
	if refusal != nil {
		return refusedAnswer(call, refusal)
	}
	if call.Confirm != nil && !call.Confirm(ctx) {
		h.cfg.Gate.Release(w, teaseltack.OutcomeCancelled)
		return refusedAnswer(call, teaseltack.Refuse(teaseltack.ReasonConnection, "the entry did not confirm the call"))
	}
	if refusal := h.beginDispatch(ctx, call, key); refusal != nil {
		h.cfg.Gate.Release(w, teaseltack.OutcomeCancelled)
		return refusedAnswer(call, refusal)
	}
	defer h.endDispatch()
	return h.dispatch(ctx, call, w)
}

// awaitAdmission offers the call to the gate and waits for the gate's decision.
func (h *Home) awaitAdmission(ctx context.Context, call *teaseltack.Call) (*teaseltack.Waiter, *teaseltack.Refusal) {
	decided := make(chan *teaseltack.Refusal, 1)
	w := &teaseltack.Waiter{
		Method:   call.Target.Method,
		Priority: call.Priority,
		Deadline: call.Deadline,
		Decide:   func(r *teaseltack.Refusal) { decided <- r },
	}
	h.cfg.Gate.Offer(w)
	select {
	case refusal := <-decided:
		return w, refusal
	case <-ctx.Done():
	}
	if h.cfg.Gate.Withdraw(w) {
		return nil, teaseltack.Refuse(teaseltack.ReasonCancelled, "the call was cancelled or its time ended while it was queued")
	}
	return w, <-decided
}

// beginDispatch makes the last checks before the dispatch and counts the call as in
// flight.
func (h *Home) beginDispatch(ctx context.Context, call *teaseltack.Call, key teaseltack.Ticket) *teaseltack.Refusal {
	h.mu.Lock()
	defer h.mu.Unlock()
	if refusal := h.checkCallLocked(call); refusal != nil {
		return refusal
	}
	if ctx.Err() != nil {
		return teaseltack.Refuse(teaseltack.ReasonCancelled, "the call was cancelled or its time ended before the dispatch")
	}
	if h.pastDeadline(call) {
		return teaseltack.Refuse(teaseltack.ReasonLifetime, "the lifetime ended before the dispatch")
	}
	if key != "" && h.cfg.Tickets.Expired(key) {
		return teaseltack.Refuse(teaseltack.ReasonTicketExpired, "the ticket, or the record of a request without one, expired before the dispatch")
	}
	h.inFlight++
	return nil
}

// pastDeadline compares both clock readings: on some hosts the monotonic clock
// stops while the host is frozen, and the wall clock may be changed.
func (h *Home) pastDeadline(call *teaseltack.Call) bool {
	now := h.cfg.Timers.Now()
	return !now.Before(call.Deadline) || !now.Round(0).Before(call.Deadline.Round(0))
}

func (h *Home) endDispatch() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight--
	if h.inFlight == 0 && h.idle != nil {
		close(h.idle)
		h.idle = nil
	}
}

// Idle returns a channel that is closed once no call runs at the server.
func (h *Home) Idle() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.inFlight == 0 {
		idle := make(chan struct{})
		close(idle)
		return idle
	}
	if h.idle == nil {
		h.idle = make(chan struct{})
	}
	return h.idle
}

// InFlight returns the number of calls that run at the server.
func (h *Home) InFlight() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inFlight
}

func (h *Home) dispatch(ctx context.Context, call *teaseltack.Call, w *teaseltack.Waiter) *teaseltack.Answer {
	if call.NonIdempotent {
		ctx = context.WithoutCancel(ctx)
	}
	started := h.cfg.Timers.Now()
	ctx, cancel := context.WithTimeout(ctx, call.Deadline.Sub(started))
	defer cancel()
	callScope := &scope.Scope{
		Context:  ctx,
		ID:       call.ID,
		Target:   call.Target,
		Priority: call.Priority,
		Deadline: call.Deadline,
		Quota:    quota.New(call.Retries),
	}
	contextToken := h.cfg.Scopes.Open(callScope)
	answer, err := h.cfg.Server.Dispatch(ctx, call, contextToken)
	retriesLeft := h.cfg.Scopes.Close(contextToken)
	work := h.cfg.Timers.Now().Sub(started)
	nestedWait, nestedFailed := h.nestedOutcome(callScope)
	w.NestedWait = nestedWait
	waited := w.Started.Sub(w.Arrived) + w.NestedWait
	h.cfg.Gate.Release(w, outcomeOf(ctx, answer, err))
	if err != nil {
		return &teaseltack.Answer{Refusal: teaseltack.AsRefusal(err), RetriesLeft: retriesLeft, Work: work, Waited: waited}
	}
	answer.RetriesLeft = retriesLeft
	answer.Work = work
	answer.Waited = waited
	answer.Faulty = answer.IsError() && !nestedFailed
	return answer
}

func outcomeOf(ctx context.Context, answer *teaseltack.Answer, err error) teaseltack.Outcome {
	switch {
	case ctx.Err() != nil:
		return teaseltack.OutcomeCancelled
	case err != nil && teaseltack.AsRefusal(err).Verdict == teaseltack.NotRun:
		return teaseltack.OutcomeErrored
	case err != nil:
		return teaseltack.OutcomeFailed
	case answer.IsError():
		return teaseltack.OutcomeErrored
	}
	return teaseltack.OutcomeComplete
}

// requestChecksum identifies the content of a request, to detect a ticket that is
// reused for another request.
func requestChecksum(call *teaseltack.Call) [sha256.Size]byte {
	hash := sha256.New()
	for _, field := range []string{call.Target.String(), call.Payload.Verb, call.Payload.Query} {
		writeField(hash, []byte(field))
	}
	writeField(hash, call.Payload.Body)
	return [sha256.Size]byte(hash.Sum(nil))
}

// writeField hashes a field with its length, so that the boundaries of fields count.
func writeField(hash interface{ Write([]byte) (int, error) }, field []byte) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = hash.Write(length[:])
	_, _ = hash.Write(field)
}

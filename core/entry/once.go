package entry

import (
	"context"

	"teaseltack"
	"teaseltack/core/claim"
	"teaseltack/core/picker"
	"teaseltack/core/ticket"
)

// serveTicket sends the call to the one home that its ticket names. A repeat of
// a lost attempt joins the first one there.
func (e *Entry) serveTicket(ctx context.Context, j *journey) *teaseltack.Answer {
	host, err := ticket.Home(j.call.Ticket)
	if err != nil {
		return &teaseltack.Answer{ID: j.call.ID, Refusal: teaseltack.Refuse(teaseltack.ReasonTicketInvalid, "%v", err)}
	}
	for {
		record, ok := e.ticketHome(j.call.Target.Service, host)
		if !ok {
			return &teaseltack.Answer{ID: j.call.ID, Refusal: teaseltack.Uncertain(teaseltack.ReasonNoServer, "host %s of the ticket is not known", host)}
		}
		answer := e.forward(ctx, record, j)
		if answer.Refusal == nil {
			return answer
		}
		if !e.mayRepeat(ctx, j, answer.Refusal) {
			return answer
		}
	}
}

func (e *Entry) ticketHome(service teaseltack.Service, host teaseltack.HostID) (teaseltack.Record, bool) {
	if host == e.cfg.Host && e.cfg.LocalHome != nil {
		return teaseltack.Record{Host: host, Service: service}, true
	}
	return e.cfg.FindHost(host)
}

// mayRepeat allows the same ticket again only after a lost connection.
func (e *Entry) mayRepeat(ctx context.Context, j *journey, refusal *teaseltack.Refusal) bool {
	if refusal.Reason != teaseltack.ReasonConnection || ctx.Err() != nil {
		return false
	}
	return e.payRetry(j, refusal)
}

// serveKey binds a bare key to a ticket and follows the ticket.
func (e *Entry) serveKey(ctx context.Context, j *journey) *teaseltack.Answer {
	binding, refusal := e.bind(ctx, j)
	if refusal != nil {
		return &teaseltack.Answer{ID: j.call.ID, Refusal: e.keyVerdict(j, refusal)}
	}
	j.call.Ticket = binding.Ticket
	answer := e.serveTicket(ctx, j)
	if !e.mayRebind(ctx, j, answer.Refusal) {
		return answer
	}
	return e.rebind(ctx, j, binding, answer)
}

// keyVerdict is the verdict on a key that was not bound. This arrival handed
// nothing to a home, so a first attempt did not run. Of a repeat, or when the
// caller does not count its attempts, an earlier one may have run elsewhere.
func (e *Entry) keyVerdict(j *journey, refusal *teaseltack.Refusal) *teaseltack.Refusal {
	if j.call.Attempt != 0 {
		return refusal.AsUncertain()
	}
	told := *refusal
	told.Verdict = teaseltack.NotRun
	return &told
}

func (e *Entry) bind(ctx context.Context, j *journey) (*claim.Binding, *teaseltack.Refusal) {
	if e.cfg.Claims == nil {
		return nil, teaseltack.Refuse(teaseltack.ReasonPlatform, "no platform is configured for keys without tickets")
	}
	if j.call.Attempt != 0 {
		binding, refusal := e.cfg.Claims.Find(ctx, j.call.Target, j.call.Key)
		if binding != nil || refusal != nil {
			return binding, refusal
		}
	}
	fresh, refusal := e.obtain(ctx, j)
	if refusal != nil {
		return nil, refusal
	}
	return e.cfg.Claims.Claim(ctx, j.call.Target, j.call.Key, fresh)
}

// obtain gets a ticket from a home of the target.
func (e *Entry) obtain(ctx context.Context, j *journey) (teaseltack.Ticket, *teaseltack.Refusal) {
	tickets, refusal := e.Tickets(ctx, j.call.Target, j.call.Priority.Bucket(), 1)
	if refusal != nil {
		return "", refusal
	}
	return tickets[0], nil
}

// Tickets gets tickets for a target from one of its homes.
func (e *Entry) Tickets(ctx context.Context, target teaseltack.Target, bucket teaseltack.Level, count int) ([]teaseltack.Ticket, *teaseltack.Refusal) {
	var tried []teaseltack.HostID
	const mostHomes = 3
	last := teaseltack.Refuse(teaseltack.ReasonNoServer, "no server of %s takes new work", target.Service)
	for range mostHomes {
		record, ok := e.cfg.Picker.Pick(picker.Request{Service: target.Service, Method: target.Method, Bucket: bucket, Tried: tried})
		if !ok {
			return nil, last
		}
		tickets, err := e.issueAt(ctx, record, target, count)
		if err == nil && len(tickets) > 0 {
			e.cfg.Picker.Done(record, picker.DoneInfo{Result: picker.Abandoned})
			return tickets, nil
		}
		e.cfg.Picker.Done(record, picker.DoneInfo{Result: picker.Failed})
		tried = append(tried, record.Host)
		if err != nil {
			last = teaseltack.Refuse(teaseltack.ReasonNoServer, "asking host %s for a ticket: %v", record.Host, err)
		}
	}
	return nil, last
}

func (e *Entry) issueAt(ctx context.Context, record teaseltack.Record, target teaseltack.Target, count int) ([]teaseltack.Ticket, error) {
	if record.Host != e.cfg.Host || e.cfg.LocalHome == nil {
		return e.cfg.Homes.IssueTickets(ctx, record, target, count)
	}
	tickets, refusal := e.cfg.LocalHome.IssueTickets(target, count)
	if refusal != nil {
		return nil, refusal
	}
	return tickets, nil
}

// mayRebind allows another ticket for a key once the home has said that the
// claimed one can never run.
func (e *Entry) mayRebind(ctx context.Context, j *journey, refusal *teaseltack.Refusal) bool {
	if refusal == nil || refusal.Verdict != teaseltack.NotRun || j.mayHaveRun {
		return false
	}
	if isFinal(refusal.Reason) || ctx.Err() != nil {
		return false
	}
	return e.corrected(ctx, j, refusal) || e.payRetry(j, refusal)
}

func (e *Entry) rebind(ctx context.Context, j *journey, earlier *claim.Binding, answer *teaseltack.Answer) *teaseltack.Answer {
	fresh, refusal := e.obtain(ctx, j)
	if refusal != nil {
		return answer
	}
	binding, refusal := e.cfg.Claims.Replace(ctx, earlier, fresh)
	if refusal != nil {
		return &teaseltack.Answer{ID: j.call.ID, Refusal: e.keyVerdict(j, refusal)}
	}
	j.call.Ticket = binding.Ticket
	j.call.Nonce = e.nonce()
	return e.serveTicket(ctx, j)
}

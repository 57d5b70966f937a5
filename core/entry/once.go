package entry

import (
	"context"

	"teaseltack"
	"teaseltack/core/claim"
	"teaseltack/core/picker"
	"teaseltack/core/ticket"
)

// serveTicket sends the call to the home that issued its ticket. A retry after
// a lost connection joins the first attempt there.
func (e *Entry) serveTicket(ctx context.Context, rs *requestState) *teaseltack.Answer {
	host, err := ticket.IssuingHost(rs.call.Ticket)
	if err != nil {
		return &teaseltack.Answer{ID: rs.call.ID, Refusal: teaseltack.Refuse(teaseltack.ReasonTicketInvalid, "%v", err)}
	}
	for {
		record, ok := e.ticketHome(rs.call.Target.Service, host)
		if !ok {
			return &teaseltack.Answer{ID: rs.call.ID, Refusal: teaseltack.Uncertain(teaseltack.ReasonNoServer, "host %s, which issued the ticket, is unknown", host)}
		}
		answer := e.forward(ctx, record, rs)
		if answer.Refusal == nil {
			return answer
		}
		if !e.tryTicketRetry(ctx, rs, answer.Refusal) {
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

// tryTicketRetry reports whether the same ticket may be sent again, which is only
// after a lost connection, and charges the retry.
func (e *Entry) tryTicketRetry(ctx context.Context, rs *requestState, refusal *teaseltack.Refusal) bool {
	if refusal.Reason != teaseltack.ReasonConnection || ctx.Err() != nil {
		return false
	}
	return e.spendRetry(rs, refusal)
}

// serveKey binds a key without a ticket to a new ticket and serves the call
// with that ticket.
func (e *Entry) serveKey(ctx context.Context, rs *requestState) *teaseltack.Answer {
	binding, refusal := e.bind(ctx, rs)
	if refusal != nil {
		return &teaseltack.Answer{ID: rs.call.ID, Refusal: e.keyVerdict(rs, refusal)}
	}
	rs.call.Ticket = binding.Ticket
	answer := e.serveTicket(ctx, rs)
	if !e.tryRebind(ctx, rs, answer.Refusal) {
		return answer
	}
	return e.rebind(ctx, rs, binding, answer)
}

// keyVerdict sets the verdict for a key that could not be bound. No attempt by
// this entry has run, so the caller's first attempt did not run. If the request
// is a repeat, or its caller does not number attempts, an earlier attempt may
// have run through another daemon.
func (e *Entry) keyVerdict(rs *requestState, refusal *teaseltack.Refusal) *teaseltack.Refusal {
	if rs.call.CallerAttempt != 0 {
		return refusal.AsUncertain()
	}
	notRun := *refusal
	notRun.Verdict = teaseltack.NotRun
	return &notRun
}

func (e *Entry) bind(ctx context.Context, rs *requestState) (*claim.Claim, *teaseltack.Refusal) {
	if e.cfg.Claims == nil {
		return nil, teaseltack.Refuse(teaseltack.ReasonPlatform, "no platform is configured for keys without tickets")
	}
	if rs.call.CallerAttempt != 0 {
		binding, refusal := e.cfg.Claims.Find(ctx, rs.call.Target, rs.call.Key)
		if binding != nil || refusal != nil {
			return binding, refusal
		}
	}
	fresh, refusal := e.requestTicket(ctx, rs)
	if refusal != nil {
		return nil, refusal
	}
	return e.cfg.Claims.Claim(ctx, rs.call.Target, rs.call.Key, fresh)
}

func (e *Entry) requestTicket(ctx context.Context, rs *requestState) (teaseltack.Ticket, *teaseltack.Refusal) {
	tickets, refusal := e.Tickets(ctx, rs.call.Target, rs.call.Priority.Bucket(), 1)
	if refusal != nil {
		return "", refusal
	}
	return tickets[0], nil
}

// Tickets requests tickets for a target from one of its homes, trying up to
// three.
func (e *Entry) Tickets(ctx context.Context, target teaseltack.Target, bucket teaseltack.Level, count int) ([]teaseltack.Ticket, *teaseltack.Refusal) {
	var tried []teaseltack.HostID
	const maxHomes = 3
	last := teaseltack.Refuse(teaseltack.ReasonNoServer, "no server of %s takes new work", target.Service)
	for range maxHomes {
		record, ok := e.cfg.Picker.Pick(picker.Request{Service: target.Service, Method: target.Method, Bucket: bucket, Tried: tried})
		if !ok {
			return nil, last
		}
		tickets, err := e.issueTickets(ctx, record, target, count)
		if err == nil && len(tickets) > 0 {
			e.cfg.Picker.Done(record, picker.DoneInfo{Result: picker.Ignored})
			return tickets, nil
		}
		e.cfg.Picker.Done(record, picker.DoneInfo{Result: picker.Failed})
		tried = append(tried, record.Host)
		if err != nil {
			last = teaseltack.Refuse(teaseltack.ReasonNoServer, "requesting a ticket from host %s: %v", record.Host, err)
		}
	}
	return nil, last
}

func (e *Entry) issueTickets(ctx context.Context, record teaseltack.Record, target teaseltack.Target, count int) ([]teaseltack.Ticket, error) {
	if record.Host != e.cfg.Host || e.cfg.LocalHome == nil {
		return e.cfg.Homes.IssueTickets(ctx, record, target, count)
	}
	tickets, refusal := e.cfg.LocalHome.IssueTickets(target, count)
	if refusal != nil {
		return nil, refusal
	}
	return tickets, nil
}

// tryRebind reports whether a key may get another ticket, and counts the move or
// charges the retry. It may only if the call with the bound ticket did not run.
func (e *Entry) tryRebind(ctx context.Context, rs *requestState, refusal *teaseltack.Refusal) bool {
	if refusal == nil || refusal.Verdict != teaseltack.NotRun || rs.mayHaveRun {
		return false
	}
	if isFinal(refusal.Reason) || ctx.Err() != nil {
		return false
	}
	return e.tryMove(ctx, rs, refusal) || e.spendRetry(rs, refusal)
}

func (e *Entry) rebind(ctx context.Context, rs *requestState, earlier *claim.Claim, answer *teaseltack.Answer) *teaseltack.Answer {
	fresh, refusal := e.requestTicket(ctx, rs)
	if refusal != nil {
		return answer
	}
	binding, refusal := e.cfg.Claims.Replace(ctx, earlier, fresh)
	if refusal != nil {
		return &teaseltack.Answer{ID: rs.call.ID, Refusal: e.keyVerdict(rs, refusal)}
	}
	rs.call.Ticket = binding.Ticket
	rs.call.Nonce = e.nonce()
	return e.serveTicket(ctx, rs)
}

// Package wire converts between the messages of package teaseltack and those of the
// peer protocol, and validates what peers send.
package wire

import (
	"fmt"
	"time"

	"golang.org/x/net/http/httpguts"

	"teaseltack"
	peerv1 "teaseltack/gen/teaseltack/peer/v1"
)

// maxLifetime bounds the lifetime of a call that a peer sends.
const maxLifetime = 10 * time.Minute

// Codec converts messages. It has no state.
type Codec struct{}

// CallOut encodes a call to the host. The deadline is on the local clock and so is
// sent as the lifetime left at now.
func (Codec) CallOut(to teaseltack.HostID, c *teaseltack.Call, now time.Time) *peerv1.ForwardRequest {
	return &peerv1.ForwardRequest{
		RequestId:     string(c.ID),
		Nonce:         string(c.Nonce),
		Service:       string(c.Target.Service),
		Method:        string(c.Target.Method),
		Verb:          c.Payload.Verb,
		Query:         c.Payload.Query,
		Class:         uint32(c.Priority.Class),
		Rank:          c.Priority.Rank,
		Nested:        c.Priority.Nested,
		NonIdempotent: c.NonIdempotent,
		LifetimeUs:    c.Deadline.Sub(now).Microseconds(),
		Retries:       int64(c.Retries),
		Ticket:        string(c.Ticket),
		Headers:       headersOut(c.Payload.Headers),
		Body:          c.Payload.Body,
		ToHost:        string(to),
		Authority:     c.Payload.Authority,
		Path:          c.Payload.Path,
		Caller:        string(c.Caller),
		Again:         c.Again,
		Confirm:       c.ConfirmFirst,
		Incarnation:   uint64(c.HomeIncarnation),
		Generation:    uint64(c.Generation),
	}
}

// CallIn decodes and validates a call that a peer sent.
func (Codec) CallIn(m *peerv1.ForwardRequest, now time.Time) (*teaseltack.Call, error) {
	lifetime := time.Duration(m.LifetimeUs) * time.Microsecond
	switch {
	case m.RequestId == "" || m.Nonce == "":
		return nil, fmt.Errorf("request-id is %q and nonce is %q, allowed are non-empty ones", m.RequestId, m.Nonce)
	case m.Class >= teaseltack.ClassCount:
		return nil, fmt.Errorf("class is %d, allowed is 0 to %d", m.Class, teaseltack.ClassCount-1)
	case m.LifetimeUs <= 0 || m.LifetimeUs > maxLifetime.Microseconds():
		return nil, fmt.Errorf("lifetime is %d µs, allowed is 1 to %d", m.LifetimeUs, maxLifetime.Microseconds())
	case m.Retries < 0:
		return nil, fmt.Errorf("retries is %d, allowed are 0 and more", m.Retries)
	}
	return &teaseltack.Call{
		ID:              teaseltack.RequestID(m.RequestId),
		Nonce:           teaseltack.Nonce(m.Nonce),
		Target:          teaseltack.Target{Service: teaseltack.Service(m.Service), Method: teaseltack.Method(m.Method)},
		Priority:        teaseltack.Priority{Class: teaseltack.Class(m.Class), Nested: m.Nested, Rank: m.Rank},
		NonIdempotent:   m.NonIdempotent,
		Caller:          teaseltack.Service(m.Caller),
		Deadline:        now.Add(lifetime),
		Retries:         teaseltack.Retries(m.Retries),
		Ticket:          teaseltack.Ticket(m.Ticket),
		Again:           m.Again,
		ConfirmFirst:    m.Confirm,
		HomeIncarnation: teaseltack.Incarnation(m.Incarnation),
		Generation:      teaseltack.Generation(m.Generation),
		Payload:         teaseltack.Payload{Verb: m.Verb, Authority: m.Authority, Path: m.Path, Query: m.Query, Headers: headersIn(m.Headers), Body: m.Body},
	}, nil
}

// AnswerOut encodes an answer.
func (Codec) AnswerOut(a *teaseltack.Answer) *peerv1.ForwardResponse {
	m := &peerv1.ForwardResponse{
		RequestId:   string(a.ID),
		Nonce:       string(a.Nonce),
		Verdict:     uint32(a.Verdict()),
		Status:      uint32(a.Status),
		Headers:     headersOut(a.Headers),
		Body:        a.Body,
		RetriesLeft: int64(a.RetriesLeft),
		Level:       uint32(a.Load.Level),
		LevelBelow:  uint32(a.Load.NestedLevel),
		InFlight:    uint32(a.Load.InFlight),
		Limit:       uint32(a.Load.Limit),
		FreshTicket: string(a.FreshTicket),
		WorkUs:      a.Work.Microseconds(),
		Faulty:      a.Faulty,
		WaitedUs:    a.Waited.Microseconds(),
		Inner:       a.Load.ServersOnly,
		Earlier:     a.Earlier,
		Generation:  uint64(a.Generation),
	}
	if a.Refusal != nil {
		m.Reason = string(a.Refusal.Reason)
		m.Detail = a.Refusal.Detail
		m.RetryAfterUs = a.Refusal.RetryAfter.Microseconds()
	}
	return m
}

// AnswerIn decodes an answer. An answer without a reason is the complete answer of
// the backend server; one with a reason is a refusal. A complete answer that no backend
// server can have given, such as one that an earlier version let pass, becomes a refusal
// with the verdict MayHaveRun.
func (Codec) AnswerIn(m *peerv1.ForwardResponse) *teaseltack.Answer {
	a := &teaseltack.Answer{
		ID:          teaseltack.RequestID(m.RequestId),
		Nonce:       teaseltack.Nonce(m.Nonce),
		Status:      int(m.Status),
		Headers:     headersIn(m.Headers),
		Body:        m.Body,
		RetriesLeft: teaseltack.Retries(m.RetriesLeft),
		Load: teaseltack.Load{
			Level:       min(teaseltack.Level(m.Level), teaseltack.LevelCount),
			NestedLevel: min(teaseltack.Level(m.LevelBelow), teaseltack.LevelCount),
			InFlight:    int(m.InFlight),
			Limit:       int(m.Limit),
			ServersOnly: m.Inner,
		},
		FreshTicket: teaseltack.Ticket(m.FreshTicket),
		Work:        time.Duration(m.WorkUs) * time.Microsecond,
		Faulty:      m.Faulty,
		Waited:      max(time.Duration(m.WaitedUs)*time.Microsecond, 0),
		Earlier:     m.Earlier,
		Generation:  teaseltack.Generation(m.Generation),
	}
	if m.Reason != "" {
		a.Refusal = &teaseltack.Refusal{
			Verdict:    verdictIn(m.Verdict),
			Reason:     teaseltack.Reason(m.Reason),
			Detail:     m.Detail,
			RetryAfter: time.Duration(m.RetryAfterUs) * time.Microsecond,
		}
		return a
	}
	a.Refusal = brokenAnswer(a)
	return a
}

// brokenAnswer returns the refusal of a complete answer with a status or a header field
// that cannot be passed on to a caller, and nil for any other answer.
func brokenAnswer(a *teaseltack.Answer) *teaseltack.Refusal {
	if a.Status < teaseltack.MinStatus || a.Status > teaseltack.MaxStatus {
		return teaseltack.Uncertain(teaseltack.ReasonAnswerMismatch, "the answer has the status %d, allowed is %d to %d", a.Status, teaseltack.MinStatus, teaseltack.MaxStatus)
	}
	for _, f := range a.Headers {
		if !httpguts.ValidHeaderFieldName(f.Name) || !httpguts.ValidHeaderFieldValue(f.Value) {
			return teaseltack.Uncertain(teaseltack.ReasonAnswerMismatch, "the answer has the header field %.80q, which is not valid", f.Name+": "+f.Value)
		}
	}
	return nil
}

// verdictIn decodes a verdict. An unknown one becomes MayHaveRun, which makes no
// promise.
func verdictIn(v uint32) teaseltack.Verdict {
	if v > uint32(teaseltack.Ran) {
		return teaseltack.MayHaveRun
	}
	return teaseltack.Verdict(v)
}

func headersOut(fields []teaseltack.HeaderField) []*peerv1.Header {
	headers := make([]*peerv1.Header, len(fields))
	for i, f := range fields {
		headers[i] = &peerv1.Header{Name: f.Name, Value: f.Value}
	}
	return headers
}

func headersIn(headers []*peerv1.Header) []teaseltack.HeaderField {
	fields := make([]teaseltack.HeaderField, len(headers))
	for i, h := range headers {
		fields[i] = teaseltack.HeaderField{Name: h.Name, Value: h.Value}
	}
	return fields
}

// RecordsOut encodes membership records.
func (Codec) RecordsOut(records []teaseltack.Record) []*peerv1.Record {
	out := make([]*peerv1.Record, len(records))
	for i, r := range records {
		out[i] = &peerv1.Record{
			Host:        string(r.Host),
			Incarnation: uint64(r.Incarnation),
			Version:     r.Version,
			DataCentre:  string(r.DataCentre),
			Region:      string(r.Region),
			PeerAddress: r.PeerAddress,
			Service:     string(r.Service),
			Slots:       uint32(r.Slots),
			Connections: uint32(r.Connections),
			State:       uint32(r.State),
			Serving:     uint32(r.Serving),
			Generation:  uint64(r.Generation),
		}
	}
	return out
}

// RecordsIn decodes membership records and skips malformed ones.
func (Codec) RecordsIn(records []*peerv1.Record) []teaseltack.Record {
	in := make([]teaseltack.Record, 0, len(records))
	for _, r := range records {
		if r.GetHost() == "" || r.State > uint32(teaseltack.Left) || r.Serving > uint32(teaseltack.Leaving) {
			continue
		}
		in = append(in, teaseltack.Record{
			Host:        teaseltack.HostID(r.Host),
			Incarnation: teaseltack.Incarnation(r.Incarnation),
			Version:     r.Version,
			DataCentre:  teaseltack.DataCentre(r.DataCentre),
			Region:      teaseltack.Region(r.Region),
			PeerAddress: r.PeerAddress,
			Service:     teaseltack.Service(r.Service),
			Slots:       int(r.Slots),
			Connections: int(r.Connections),
			State:       teaseltack.LifeState(r.State),
			Serving:     teaseltack.Serving(r.Serving),
			Generation:  teaseltack.Generation(r.Generation),
		})
	}
	return in
}

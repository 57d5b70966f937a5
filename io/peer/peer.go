// Package peer is the server side of the protocol between daemons.
package peer

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"teaseltack"
	"teaseltack/core/active"
	"teaseltack/core/gossip"
	"teaseltack/core/home"
	"teaseltack/core/member"
	peerv1 "teaseltack/gen/teaseltack/peer/v1"
	"teaseltack/gen/teaseltack/peer/v1/peerv1connect"
	"teaseltack/io/wire"
)

const (
	maxTickets = 64
	maxRecords = 10000
)

// Config configures a service.
type Config struct {
	Timers   teaseltack.Timers
	Host     teaseltack.HostID
	Home     *home.Home
	Gossiper *gossip.Gossiper
	Members  *member.Table
	Holder   *active.Holder
}

// Service handles the calls of other daemons.
type Service struct {
	cfg   Config
	codec wire.Codec
}

var _ peerv1connect.PeerServiceHandler = (*Service)(nil)

// New returns a service.
func New(cfg Config) *Service {
	return &Service{cfg: cfg}
}

// checkHost refuses a call that is addressed to another host, such as one that had
// this address before.
func (s *Service) checkHost(to string) *teaseltack.Refusal {
	if to == string(s.cfg.Host) {
		return nil
	}
	return teaseltack.Refuse(teaseltack.ReasonWrongHost, "this is host %s, the call is for host %s", s.cfg.Host, to)
}

// Forward runs a call at the local backend server. The refusal of a call for another
// host has the verdict MayHaveRun if the call carries a ticket.
func (s *Service) Forward(ctx context.Context, request *connect.Request[peerv1.ForwardRequest]) (*connect.Response[peerv1.ForwardResponse], error) {
	call, err := s.codec.CallIn(request.Msg, s.cfg.Timers.Now())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if refusal := s.checkHost(request.Msg.ToHost); refusal != nil {
		if call.Ticket != "" {
			refusal.Verdict = teaseltack.MayHaveRun
		}
		answer := &teaseltack.Answer{ID: call.ID, Nonce: call.Nonce, Refusal: refusal, RetriesLeft: call.Retries}
		return connect.NewResponse(s.codec.AnswerOut(answer)), nil
	}
	return connect.NewResponse(s.codec.AnswerOut(s.cfg.Home.Serve(ctx, call))), nil
}

// IssueTickets issues tickets that are valid for this incarnation.
func (s *Service) IssueTickets(_ context.Context, request *connect.Request[peerv1.IssueTicketsRequest]) (*connect.Response[peerv1.IssueTicketsResponse], error) {
	m := request.Msg
	if m.Count < 1 || m.Count > maxTickets {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("count is %d, allowed is 1 to %d", m.Count, maxTickets))
	}
	if refusal := s.checkHost(m.ToHost); refusal != nil {
		return connect.NewResponse(&peerv1.IssueTicketsResponse{Reason: string(refusal.Reason)}), nil
	}
	target := teaseltack.Target{Service: teaseltack.Service(m.Service), Method: teaseltack.Method(m.Method)}
	tickets, refusal := s.cfg.Home.IssueTickets(target, int(m.Count))
	if refusal != nil {
		return connect.NewResponse(&peerv1.IssueTicketsResponse{Reason: string(refusal.Reason)}), nil
	}
	names := make([]string, len(tickets))
	for i, t := range tickets {
		names[i] = string(t)
	}
	return connect.NewResponse(&peerv1.IssueTicketsResponse{Tickets: names}), nil
}

// Exchange applies a control message of another daemon and returns the reply.
func (s *Service) Exchange(_ context.Context, request *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	m := request.Msg
	if m.ToHost != "" && m.ToHost != string(s.cfg.Host) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("this is host %s, not %s", s.cfg.Host, m.ToHost))
	}
	if len(m.Changed) > maxRecords {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("changed has %d records, allowed are %d", len(m.Changed), maxRecords))
	}
	answer := s.cfg.Gossiper.Receive(teaseltack.Exchange{
		From:        teaseltack.HostID(m.FromHost),
		FromAddress: m.FromAddress,
		Digest:      m.Digest,
		Generation:  teaseltack.Generation(m.Generation),
		FreshAge:    ageFromMs(m.FreshAgeMs),
		Changed:     s.codec.RecordsIn(m.Changed),
	})
	return connect.NewResponse(&peerv1.ExchangeResponse{
		Digest:     answer.Digest,
		Generation: uint64(answer.Generation),
		FreshAgeMs: answer.FreshAge.Milliseconds(),
		Buckets:    answer.Buckets,
		Changed:    s.codec.RecordsOut(answer.Changed),
	}), nil
}

// Pull merges the caller's records and returns this daemon's records of the
// requested buckets.
func (s *Service) Pull(_ context.Context, request *connect.Request[peerv1.PullRequest]) (*connect.Response[peerv1.PullResponse], error) {
	m := request.Msg
	if len(m.Records) > maxRecords || len(m.Buckets) > teaseltack.DigestBucketCount {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("pull has %d records and %d buckets, allowed are %d and %d", len(m.Records), len(m.Buckets), maxRecords, teaseltack.DigestBucketCount))
	}
	records := s.cfg.Members.InBuckets(m.Buckets)
	s.cfg.Members.Merge(s.codec.RecordsIn(m.Records))
	return connect.NewResponse(&peerv1.PullResponse{Records: s.codec.RecordsOut(records)}), nil
}

// FetchDocument returns the document in force if it is newer.
func (s *Service) FetchDocument(_ context.Context, request *connect.Request[peerv1.FetchDocumentRequest]) (*connect.Response[peerv1.FetchDocumentResponse], error) {
	document := s.cfg.Holder.Document()
	if document.GetGeneration() <= request.Msg.AboveGeneration {
		document = nil
	}
	return connect.NewResponse(&peerv1.FetchDocumentResponse{Document: document}), nil
}

// ageFromMs converts an age in milliseconds. A negative age, or one above an hour,
// counts as an hour.
func ageFromMs(ms int64) time.Duration {
	const veryOld = time.Hour
	if ms < 0 || ms > veryOld.Milliseconds() {
		return veryOld
	}
	return time.Duration(ms) * time.Millisecond
}

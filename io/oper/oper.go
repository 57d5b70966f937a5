// Package oper serves the operators' remote procedure calls.
package oper

import (
	"context"
	"errors"
	"fmt"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"

	"teaseltack"
	"teaseltack/core/active"
	"teaseltack/core/editor"
	"teaseltack/core/gossip"
	"teaseltack/core/member"
	"teaseltack/core/picker"
	"teaseltack/core/policy"
	"teaseltack/core/watch"
	operatorv1 "teaseltack/gen/teaseltack/operator/v1"
	"teaseltack/gen/teaseltack/operator/v1/operatorv1connect"
)

const (
	defaultHistory = 50
	maxHistory     = 10000
)

// Config configures a service. Editor and Watcher are nil without a platform.
type Config struct {
	Log      hclog.Logger
	Editor   *editor.Editor
	Watcher  *watch.Watcher
	Holder   *active.Holder
	Members  *member.Table
	Gossiper *gossip.Gossiper
	Picker   *picker.Picker
}

// Service handles the calls of operators.
type Service struct {
	cfg Config
}

var _ operatorv1connect.OperatorServiceHandler = (*Service)(nil)

// New returns a service.
func New(cfg Config) *Service {
	return &Service{cfg: cfg}
}

func (s *Service) apply(ctx context.Context, edit policy.Edit, expected uint64, dryRun bool) *operatorv1.Outcome {
	if s.cfg.Editor == nil {
		return &operatorv1.Outcome{Result: "refused", Detail: "nothing was written: this daemon has no platform-address"}
	}
	outcome := s.cfg.Editor.Apply(ctx, edit, teaseltack.Generation(expected), dryRun)
	s.cfg.Log.Info("configuration change", "result", outcome.Result, "change-id", edit.ChangeID, "who", edit.Who,
		"generation", outcome.Generation, "detail", outcome.Detail, "dry-run", dryRun)
	return outcome
}

// ApplyPolicies sets and removes policies in one change.
func (s *Service) ApplyPolicies(ctx context.Context, request *connect.Request[operatorv1.ApplyPoliciesRequest]) (*connect.Response[operatorv1.ApplyPoliciesResponse], error) {
	m := request.Msg
	edit := policy.Edit{ChangeID: m.ChangeId, Who: m.Who, Set: m.Set, Remove: m.Remove}
	outcome := s.apply(ctx, edit, m.ExpectedGeneration, m.DryRun)
	return connect.NewResponse(&operatorv1.ApplyPoliciesResponse{Outcome: outcome}), nil
}

// MarkServer marks a backend server as leaving or removes the mark.
func (s *Service) MarkServer(ctx context.Context, request *connect.Request[operatorv1.MarkServerRequest]) (*connect.Response[operatorv1.MarkServerResponse], error) {
	m := request.Msg
	if m.Host == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("host is empty, allowed is a host name"))
	}
	edit := policy.Edit{ChangeID: m.ChangeId, Who: m.Who, Host: m.Host, Leaving: m.Leaving}
	return connect.NewResponse(&operatorv1.MarkServerResponse{Outcome: s.apply(ctx, edit, 0, false)}), nil
}

// GetDocument returns the configuration in force at this daemon.
func (s *Service) GetDocument(context.Context, *connect.Request[operatorv1.GetDocumentRequest]) (*connect.Response[operatorv1.GetDocumentResponse], error) {
	return connect.NewResponse(&operatorv1.GetDocumentResponse{Document: s.cfg.Holder.Document()}), nil
}

// GetHistory returns the audit trail, newest first. Without a platform it returns
// only the recent changes in the document in force and does not set complete.
func (s *Service) GetHistory(ctx context.Context, request *connect.Request[operatorv1.GetHistoryRequest]) (*connect.Response[operatorv1.GetHistoryResponse], error) {
	limit := int(request.Msg.Limit)
	if limit == 0 {
		limit = defaultHistory
	}
	if limit > maxHistory {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("limit is %d, allowed is 1 to %d, or 0 for %d", limit, maxHistory, defaultHistory))
	}
	document := s.cfg.Holder.Document()
	if s.cfg.Editor == nil {
		return connect.NewResponse(&operatorv1.GetHistoryResponse{Changes: document.Recent}), nil
	}
	changes, complete := s.cfg.Editor.History(ctx, document, limit)
	return connect.NewResponse(&operatorv1.GetHistoryResponse{Changes: changes, Complete: complete}), nil
}

// GetStatus returns this daemon's records of all hosts. Hosts that are dead or
// have left are listed but not counted as known or behind.
func (s *Service) GetStatus(context.Context, *connect.Request[operatorv1.GetStatusRequest]) (*connect.Response[operatorv1.GetStatusResponse], error) {
	generation, _ := s.cfg.Holder.Generation()
	status := &operatorv1.GetStatusResponse{
		Host:              string(s.cfg.Members.Own().Host),
		Generation:        uint64(generation),
		PlatformReachable: s.cfg.Watcher != nil && s.cfg.Watcher.Reachable(),
	}
	for _, name := range s.cfg.Gossiper.Unreachable() {
		status.DataCentresUnreachable = append(status.DataCentresUnreachable, string(name))
	}
	for _, r := range s.cfg.Members.Records() {
		status.Hosts = append(status.Hosts, s.hostStatus(r))
		if r.State >= teaseltack.Dead {
			continue
		}
		status.HostsKnown++
		if r.Generation < generation {
			status.HostsBehind++
		}
	}
	return connect.NewResponse(status), nil
}

func (s *Service) hostStatus(r teaseltack.Record) *operatorv1.HostStatus {
	serving := r.Serving
	if s.cfg.Holder.Leaving(r.Host) {
		serving = teaseltack.Leaving
	}
	// The daemon batches record changes before it applies them to the picker, so
	// the picker may not have the home yet.
	if serving == teaseltack.Ready && !s.cfg.Picker.Has(r.Service, r.Host) {
		serving = teaseltack.Absent
	}
	status := s.cfg.Picker.Status(r.Host)
	return &operatorv1.HostStatus{
		Host:       string(r.Host),
		DataCentre: string(r.DataCentre),
		Service:    string(r.Service),
		State:      r.State.String(),
		Serving:    serving.String(),
		Generation: uint64(r.Generation),
		Slots:      uint32(r.Slots),
		Ejected:    status.Ejected,
		InFlight:   uint32(status.Load.InFlight),
		Limit:      uint32(status.Load.Limit),
	}
}

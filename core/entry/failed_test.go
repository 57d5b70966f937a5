package entry_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/core/entry"
	"teaseltack/core/levels"
	"teaseltack/core/picker"
	"teaseltack/core/scope"
	"teaseltack/io/clock"
	"teaseltack/io/random"
)

// scriptedHomes answer the attempts in turn, the last answer repeatedly.
type scriptedHomes struct {
	answers []func() *teaseltack.Answer
	ranAt   []teaseltack.Service
}

func (s *scriptedHomes) Forward(_ context.Context, _ teaseltack.Record, c *teaseltack.Call) (*teaseltack.Answer, error) {
	next := s.answers[0]
	if len(s.answers) > 1 {
		s.answers = s.answers[1:]
	}
	answer := next()
	if answer.Verdict() == teaseltack.Ran {
		s.ranAt = append(s.ranAt, c.Target.Service)
	}
	answer.ID, answer.Nonce = c.ID, c.Nonce
	return answer, nil
}

func (s *scriptedHomes) IssueTickets(context.Context, teaseltack.Record, teaseltack.Target, int) ([]teaseltack.Ticket, error) {
	return nil, nil
}

// writePolicies has an idempotent method at till and one that runs once at orders.
type writePolicies struct{}

func (writePolicies) Policy(target teaseltack.Target) (teaseltack.Policy, bool) {
	return teaseltack.Policy{Target: target, Class: teaseltack.ClassNormal, Lifetime: testLifetime, NonIdempotent: target.Service == "orders", Retries: 2}, true
}

// serveScripted serves a write that the first configuration sends to till.
func serveScripted(t *testing.T, s *scriptedHomes, router teaseltack.Router) *teaseltack.Answer {
	t.Helper()
	timers, source := clock.Clock{}, random.Seeded(1)
	e := entry.New(entry.Config{
		Timers: timers, Rand: source, Host: "e", Policies: writePolicies{}, Router: router, Picker: picker.New(picker.Config{Timers: timers, Rand: source}),
		Levels: levels.New(levels.Config{Timers: timers}), Scopes: scope.New(scope.Config{Rand: source}), Homes: s, MoveOnRefusal: true, RetryFailed: true,
	})
	var records []teaseltack.Record
	homes := map[teaseltack.Service][]teaseltack.HostID{}
	for _, service := range []teaseltack.Service{"till", "orders"} {
		for _, n := range []string{"0", "1", "2"} {
			r := teaseltack.Record{Host: teaseltack.HostID(string(service) + n), Service: service, Serving: teaseltack.Ready, Slots: 4, Connections: 8}
			records = append(records, r)
			homes[service] = append(homes[service], r.Host)
		}
	}
	e.UpdateHomes(records, homes)
	return e.Serve(t.Context(), &teaseltack.Request{ID: "x", Target: teaseltack.Target{Service: "till", Method: "write"}, Retries: -1, Generation: 1})
}

func failedAtServer() *teaseltack.Answer { return &teaseltack.Answer{Status: 500, Faulty: true} }

func TestARequestThatAServerFailedIsNotCalledNotRun(t *testing.T) {
	for _, reason := range []teaseltack.Reason{teaseltack.ReasonOverload, teaseltack.ReasonConfiguration} {
		refused := func() *teaseltack.Answer { return &teaseltack.Answer{Refusal: teaseltack.Refuse(reason, "refused")} }
		answer := serveScripted(t, &scriptedHomes{answers: []func() *teaseltack.Answer{failedAtServer, refused}}, nil)
		assert.Assert(t, answer.Verdict() != teaseltack.NotRun, "%s after an answer of a server: %v", reason, answer.Refusal)
	}
}

func TestARequestThatAServerFailedIsNotMovedToAMethodThatRunsOnce(t *testing.T) {
	m := &move{}
	m.generation.Store(1)
	s := &scriptedHomes{answers: []func() *teaseltack.Answer{
		func() *teaseltack.Answer { m.generation.Store(2); return failedAtServer() },
		func() *teaseltack.Answer { return &teaseltack.Answer{Status: 200} },
	}}
	serveScripted(t, s, m)
	for _, service := range s.ranAt {
		assert.Equal(t, service, teaseltack.Service("till"), "ran at %v", s.ranAt)
	}
}

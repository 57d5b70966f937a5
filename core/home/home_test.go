package home_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/core/admit"
	"teaseltack/core/home"
	"teaseltack/core/levels"
	"teaseltack/core/scope"
	"teaseltack/core/ticket"
	"teaseltack/io/clock"
	"teaseltack/io/random"
)

const incarnation teaseltack.Incarnation = 3

// server answers each dispatched call once it is released.
type server struct {
	runs    chan teaseltack.Nonce
	release chan struct{}
}

func (s *server) Dispatch(_ context.Context, call *teaseltack.Call, _ string) (*teaseltack.Answer, error) {
	s.runs <- call.Nonce
	<-s.release
	return &teaseltack.Answer{Status: 200, Body: []byte("paid")}, nil
}

func newHome(t *testing.T) (*home.Home, *server) {
	t.Helper()
	return newHomeFor(t, func(*home.Config) {})
}

// newHomeFor returns a home whose configuration is changed by the function.
func newHomeFor(t *testing.T, change func(*home.Config)) (*home.Home, *server) {
	t.Helper()
	timers, source := clock.Clock{}, random.New()
	gate := admit.New(admit.Config{Timers: timers, Slots: 4, Connections: 4, MaxWait: time.Second})
	tickets := ticket.New(ticket.Config{Timers: timers, Rand: source, Host: "h", Incarnation: incarnation, Lifetime: time.Minute, MaxRecords: 10, MaxKeptBytes: 100})
	s := &server{runs: make(chan teaseltack.Nonce, 10), release: make(chan struct{})}
	cfg := home.Config{
		Timers: timers, Host: "h", Gate: gate, Server: s, Tickets: tickets,
		Scopes: scope.New(scope.Config{Rand: source}), Levels: levels.New(levels.Config{Timers: timers}),
	}
	change(&cfg)
	h := home.New(cfg)
	h.SetServing("till", teaseltack.Ready)
	t.Cleanup(func() {
		h.Close()
		gate.Close()
		tickets.Close()
	})
	return h, s
}

func payment(nonce teaseltack.Nonce) *teaseltack.Call {
	return &teaseltack.Call{
		ID: "a", Nonce: nonce, Target: teaseltack.Target{Service: "till", Method: "pay"}, NonIdempotent: true, Deadline: time.Now().Add(20 * time.Second),
	}
}

func again(nonce teaseltack.Nonce, of teaseltack.Incarnation) *teaseltack.Call {
	call := payment(nonce)
	call.Again, call.HomeIncarnation = true, of
	return call
}

func assertPaid(t *testing.T, answer *teaseltack.Answer) {
	t.Helper()
	assert.Assert(t, answer.Refusal == nil, "%v", answer.Refusal)
	assert.Equal(t, string(answer.Body), "paid")
}

// Guards against a payment that runs again, or is called not run, when its entry asks for
// the answer that it lost.
func TestAQuestionForALostAnswerRunsNothing(t *testing.T) {
	t.Run("while the call runs", func(t *testing.T) {
		h, s := newHome(t)
		lost, cancel := context.WithCancel(t.Context())
		go h.Serve(lost, payment("n"))
		<-s.runs
		cancel()
		answer := make(chan *teaseltack.Answer)
		go func() { answer <- h.Serve(t.Context(), again("n", incarnation)) }()
		close(s.release)
		assertPaid(t, <-answer)
		assert.Equal(t, len(s.runs), 0)
	})
	t.Run("after the call", func(t *testing.T) {
		h, s := newHome(t)
		close(s.release)
		assertPaid(t, h.Serve(t.Context(), payment("n")))
		<-s.runs
		assertPaid(t, h.Serve(t.Context(), again("n", incarnation)))
		assert.Equal(t, len(s.runs), 0)
	})
	t.Run("after the server left", func(t *testing.T) {
		h, s := newHome(t)
		close(s.release)
		assertPaid(t, h.Serve(t.Context(), payment("n")))
		h.SetServing("till", teaseltack.Leaving)
		assertPaid(t, h.Serve(t.Context(), again("n", incarnation)))
		assert.Equal(t, len(s.runs), 1)
	})
	t.Run("a call that was refused", func(t *testing.T) {
		h, _ := newHome(t)
		h.SetServing("till", teaseltack.Leaving)
		assert.Equal(t, h.Serve(t.Context(), payment("n")).Refusal.Verdict, teaseltack.NotRun)
		answer := h.Serve(t.Context(), again("n", incarnation))
		assert.Equal(t, answer.Refusal.Verdict, teaseltack.NotRun)
		assert.Assert(t, answer.Earlier)
	})
	for name, call := range map[string]*teaseltack.Call{
		"an unknown call":                  again("other", incarnation),
		"a call of an earlier incarnation": again("n", incarnation-1),
	} {
		t.Run(name, func(t *testing.T) {
			h, s := newHome(t)
			close(s.release)
			h.Serve(t.Context(), payment("n"))
			<-s.runs
			assert.Equal(t, h.Serve(t.Context(), call).Refusal.Verdict, teaseltack.MayHaveRun)
			assert.Equal(t, len(s.runs), 0)
		})
	}
}

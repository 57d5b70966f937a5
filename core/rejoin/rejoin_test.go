package rejoin_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/core/health"
	"teaseltack/core/rejoin"
)

const askAfter = time.Second

// fakeTimers is a clock that stands still until it is moved.
type fakeTimers struct {
	teaseltack.Timers
	now time.Time
}

func (f *fakeTimers) Now() time.Time { return f.now }

func newGuard() (*rejoin.Guard, *fakeTimers) {
	timers := &fakeTimers{now: time.Unix(1000, 0)}
	return rejoin.New(rejoin.Config{Timers: timers, AskAfter: askAfter}), timers
}

var (
	server = health.Server{Instance: "a", BornMs: 1, Serving: teaseltack.Ready}
	next   = health.Server{Instance: "a", BornMs: 2, Serving: teaseltack.Ready}
)

// TestAServerIsAdmittedOnlyWithProof guards against a server that left, and that a late
// heartbeat registers again at a restarted daemon, while nothing shows that it stays.
func TestAServerIsAdmittedOnlyWithProof(t *testing.T) {
	for _, c := range []struct {
		name  string
		prove func(*rejoin.Guard)
		want  bool
	}{
		{"nothing", func(*rejoin.Guard) {}, false},
		{"the tombstones", (*rejoin.Guard).SetRestored, true},
		{"the server's own word", func(g *rejoin.Guard) { g.Confirm(server) }, true},
		{"the word of another process of the server", func(g *rejoin.Guard) { g.Confirm(next) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, timers := newGuard()
			c.prove(g)
			timers.now = timers.now.Add(time.Hour)
			assert.Equal(t, g.Admits(server), c.want)
		})
	}
}

// TestAServerIsAskedOnlyWhileTheStoreDoesNotAnswer guards against status checks of every
// server after every restart, which take the servers' slots.
func TestAServerIsAskedOnlyWhileTheStoreDoesNotAnswer(t *testing.T) {
	for _, c := range []struct {
		name   string
		passed time.Duration
		server health.Server
		prove  func(*rejoin.Guard)
		want   bool
	}{
		{"the store has time to answer", askAfter - 1, server, func(*rejoin.Guard) {}, false},
		{"the store does not answer", askAfter, server, func(*rejoin.Guard) {}, true},
		{"no server", askAfter, health.Server{}, func(*rejoin.Guard) {}, false},
		{"the server leaves", askAfter, health.Server{Instance: "a", Serving: teaseltack.Leaving}, func(*rejoin.Guard) {}, false},
		{"the server was asked", askAfter, server, func(g *rejoin.Guard) { g.Confirm(server) }, false},
		{"another process was asked", askAfter, next, func(g *rejoin.Guard) { g.Confirm(server) }, true},
		{"the tombstones are read", askAfter, server, (*rejoin.Guard).SetRestored, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, timers := newGuard()
			c.prove(g)
			timers.now = timers.now.Add(c.passed)
			assert.Equal(t, g.ShouldAsk(c.server), c.want)
		})
	}
}

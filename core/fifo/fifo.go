// Package fifo is the baseline gate: first come, first served, with a static
// limit and no order of importance. Measurements compare the current gate with
// it.
package fifo

import (
	"sync"

	"teaseltack"
)

// Config configures a gate.
type Config struct {
	Timers teaseltack.Timers
	// Limit is the number of calls that run at once.
	Limit int
	// QueueLength is the number of calls that wait.
	QueueLength int
}

// Gate admits calls in the order of arrival. It is safe for concurrent use.
type Gate struct {
	cfg      Config
	mu       sync.Mutex
	inFlight int
	waiting  []*teaseltack.Waiter
}

var _ teaseltack.Gate = (*Gate)(nil)

// New returns an empty gate.
func New(cfg Config) *Gate {
	return &Gate{cfg: cfg}
}

// Offer admits, queues or refuses a waiter.
func (g *Gate) Offer(w *teaseltack.Waiter) {
	g.mu.Lock()
	w.Arrived = g.cfg.Timers.Now()
	if g.inFlight < g.cfg.Limit {
		g.inFlight++
		w.Started = w.Arrived
		g.mu.Unlock()
		w.Decide(nil)
		return
	}
	if len(g.waiting) < g.cfg.QueueLength {
		g.waiting = append(g.waiting, w)
		g.mu.Unlock()
		return
	}
	g.mu.Unlock()
	w.Decide(teaseltack.Refuse(teaseltack.ReasonOverload, "%d calls wait", g.cfg.QueueLength))
}

// Withdraw takes back a queued waiter.
func (g *Gate) Withdraw(w *teaseltack.Waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, queued := range g.waiting {
		if queued == w {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Release ends an admitted call and admits the next one.
func (g *Gate) Release(_ *teaseltack.Waiter, _ teaseltack.Outcome) {
	g.mu.Lock()
	if len(g.waiting) == 0 {
		g.inFlight--
		g.mu.Unlock()
		return
	}
	next := g.waiting[0]
	g.waiting = g.waiting[1:]
	next.Started = g.cfg.Timers.Now()
	g.mu.Unlock()
	next.Decide(nil)
}

// Resize does nothing: the limit is static.
func (g *Gate) Resize(_, _ int, _ bool) {}

// Load reports the calls in flight; the baseline advises no level.
func (g *Gate) Load(teaseltack.Method) teaseltack.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return teaseltack.Load{InFlight: g.inFlight + len(g.waiting), Limit: g.cfg.Limit}
}

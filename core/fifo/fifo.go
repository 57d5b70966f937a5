// Package fifo is a first-in, first-out gate with a static limit and no priorities.
// It is the baseline with which measurements compare the gate of package admit.
package fifo

import (
	"sync"

	"teaseltack"
)

// Config configures a gate.
type Config struct {
	Timers teaseltack.Timers
	// Limit is the maximum number of calls that run at once.
	Limit int
	// QueueLength is the maximum number of calls that wait.
	QueueLength int
}

// Gate admits calls in the order of arrival. It is safe for concurrent use.
type Gate struct {
	cfg      Config
	mu       sync.Mutex
	inFlight int
	queue    []*teaseltack.Waiter
}

var _ teaseltack.Gate = (*Gate)(nil)

// New returns an empty gate.
func New(cfg Config) *Gate {
	return &Gate{cfg: cfg}
}

// Offer admits, queues or refuses a waiter. The waiter's Decide is called without the
// gate's lock.
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
	if len(g.queue) < g.cfg.QueueLength {
		g.queue = append(g.queue, w)
		g.mu.Unlock()
		return
	}
	g.mu.Unlock()
	w.Decide(teaseltack.Refuse(teaseltack.ReasonOverload, "%d calls are queued", g.cfg.QueueLength))
}

// Withdraw removes a queued waiter; false means that it was decided before.
func (g *Gate) Withdraw(w *teaseltack.Waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, queued := range g.queue {
		if queued == w {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Release reports the end of an admitted call and admits the next queued one.
func (g *Gate) Release(_ *teaseltack.Waiter, _ teaseltack.Outcome) {
	g.mu.Lock()
	if len(g.queue) == 0 {
		g.inFlight--
		g.mu.Unlock()
		return
	}
	next := g.queue[0]
	g.queue = g.queue[1:]
	next.Started = g.cfg.Timers.Now()
	g.mu.Unlock()
	next.Decide(nil)
}

// Resize does nothing: the limit is static.
func (g *Gate) Resize(_, _ int, _ bool) {}

// Load returns the calls in flight and the limit; the baseline reports no admission
// level.
func (g *Gate) Load(teaseltack.Method) teaseltack.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return teaseltack.Load{InFlight: g.inFlight + len(g.queue), Limit: g.cfg.Limit}
}

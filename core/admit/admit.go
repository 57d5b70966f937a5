// Package admit is the gate before a backend server: it runs as many calls as
// the adaptive limit allows, queues the rest in order of priority for a bounded
// time, and refuses what cannot be answered in time.
//
// A call is refused for overload only when no less important call is queued:
// the refusal evicts those first.
package admit

import (
	"sync"
	"time"

	"teaseltack"
	"teaseltack/core/level"
	"teaseltack/core/limit"
	"teaseltack/core/queue"
)

// sweepPeriod is the period of the search for waiters past their time.
const sweepPeriod = 5 * time.Millisecond

// Config sets up a gate.
type Config struct {
	Timers      teaseltack.Timers
	Slots       int
	Connections int
	// MaxWait bounds the time in the queue.
	MaxWait time.Duration
}

// Gate admits calls. It is safe for concurrent use.
type Gate struct {
	timers  teaseltack.Timers
	maxWait time.Duration

	mu       sync.Mutex
	limit    *limit.Limit
	queue    queue.Queue
	advice   *level.Advice
	inFlight int
	stop     func()
}

var _ teaseltack.Gate = (*Gate)(nil)

// New returns a gate that subscribes to the timers until Close.
func New(cfg Config) *Gate {
	g := &Gate{
		timers:  cfg.Timers,
		maxWait: cfg.MaxWait,
		limit:   limit.New(cfg.Slots, cfg.Connections),
		advice:  level.New(cfg.Timers.Now(), cfg.MaxWait/4),
	}
	g.stop = cfg.Timers.Every(sweepPeriod, g.sweep)
	return g
}

// Close ends the subscription to the timers.
func (g *Gate) Close() {
	g.stop()
}

// decision is a waiter's fate, told after the lock is released.
type decision struct {
	waiter  *teaseltack.Waiter
	refusal *teaseltack.Refusal
}

func tell(decisions []decision) {
	for _, d := range decisions {
		d.waiter.Decide(d.refusal)
	}
}

// Offer decides on a waiter now or later by one call of its Decide.
func (g *Gate) Offer(w *teaseltack.Waiter) {
	g.mu.Lock()
	now := g.timers.Now()
	w.Arrived = now
	w.Index = -1
	g.advice.Offered(w.Priority)
	decisions := g.offer(w, now)
	decisions = append(decisions, g.fill(now)...)
	g.mu.Unlock()
	tell(decisions)
}

func (g *Gate) offer(w *teaseltack.Waiter, now time.Time) []decision {
	remaining := w.Deadline.Sub(now)
	if remaining <= g.limit.Recent()/2 {
		return []decision{{w, teaseltack.Refuse(teaseltack.ReasonLifetime,
			"%v left, the server takes %v", remaining, g.limit.Recent())}}
	}
	wait := g.expectedWait(w.Priority)
	if wait <= g.maxWait && wait+g.limit.Recent() <= remaining {
		g.queue.Push(w)
		return nil
	}
	g.advice.Refused()
	decisions := g.evictBelow(w.Priority.Class)
	refusal := teaseltack.Refuse(teaseltack.ReasonOverload, "expected wait %v", wait)
	refusal.RetryAfter = g.maxWait
	return append(decisions, decision{w, refusal})
}

// expectedWait estimates the time until a call of this priority is dispatched.
func (g *Gate) expectedWait(p teaseltack.Priority) time.Duration {
	free := g.limit.Current() - g.inFlight
	ahead := g.queue.Ahead(p)
	if ahead < free {
		return 0
	}
	return time.Duration(ahead-max(free, 0)+1) * g.limit.Recent() / time.Duration(g.limit.Current())
}

func (g *Gate) evictBelow(class teaseltack.Class) []decision {
	evicted := g.queue.RemoveIf(func(w *teaseltack.Waiter) bool { return w.Priority.Class < class })
	decisions := make([]decision, 0, len(evicted)+1)
	for _, w := range evicted {
		refusal := teaseltack.Refuse(teaseltack.ReasonEvicted, "a %s call needed the place", class)
		refusal.RetryAfter = g.maxWait
		decisions = append(decisions, decision{w, refusal})
	}
	return decisions
}

// fill admits waiters while there is room and drops those past their time.
func (g *Gate) fill(now time.Time) []decision {
	var decisions []decision
	for g.inFlight < g.limit.Current() {
		w := g.queue.Pop()
		if w == nil {
			break
		}
		if now.Add(g.limit.Recent() / 2).After(w.Deadline) {
			decisions = append(decisions, decision{w, g.lateRefusal(now, w)})
			continue
		}
		g.inFlight++
		w.Started = now
		g.advice.Waited(now.Sub(w.Arrived))
		decisions = append(decisions, decision{w, nil})
	}
	return decisions
}

func (g *Gate) lateRefusal(now time.Time, w *teaseltack.Waiter) *teaseltack.Refusal {
	g.advice.Refused()
	refusal := teaseltack.Refuse(teaseltack.ReasonOverload, "waited %v", now.Sub(w.Arrived))
	refusal.RetryAfter = g.maxWait
	return refusal
}

// Withdraw takes back a waiter; false means that it was decided before.
func (g *Gate) Withdraw(w *teaseltack.Waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Remove(w)
}

// Release ends an admitted call.
func (g *Gate) Release(w *teaseltack.Waiter, outcome teaseltack.Outcome) {
	g.mu.Lock()
	now := g.timers.Now()
	switch outcome {
	case teaseltack.OutcomeWhole:
		g.limit.Succeed(now, now.Sub(w.Started), g.inFlight)
		g.advice.Completed()
	case teaseltack.OutcomeFailed:
		g.limit.Fail()
	case teaseltack.OutcomeErrored:
		g.advice.Completed()
	case teaseltack.OutcomeCancelled:
		g.limit.Abandon(now, now.Sub(w.Started))
	}
	g.inFlight--
	decisions := g.fill(now)
	g.mu.Unlock()
	tell(decisions)
}

// sweep refuses the waiters that stood too long and advances the advice. Less
// important waiters never outlast a more important one that is refused.
func (g *Gate) sweep() {
	g.mu.Lock()
	now := g.timers.Now()
	late := g.queue.RemoveIf(func(w *teaseltack.Waiter) bool {
		return now.Sub(w.Arrived) >= g.maxWait || !now.Before(w.Deadline)
	})
	var decisions []decision
	highest := teaseltack.ClassLow
	for _, w := range late {
		decisions = append(decisions, decision{w, g.lateRefusal(now, w)})
		highest = max(highest, w.Priority.Class)
	}
	if len(late) > 0 {
		decisions = append(g.evictBelow(highest), decisions...)
	}
	decisions = append(decisions, g.fill(now)...)
	g.advice.Advance(now)
	g.mu.Unlock()
	tell(decisions)
}

// Resize sets the slots and connections that the server announced. A cold
// server starts with a new limit.
func (g *Gate) Resize(slots, connections int, cold bool) {
	g.mu.Lock()
	if cold {
		g.limit = limit.New(slots, connections)
	} else {
		g.limit.Resize(slots, connections)
	}
	decisions := g.fill(g.timers.Now())
	g.mu.Unlock()
	tell(decisions)
}

// Load reports the gate's state.
func (g *Gate) Load() teaseltack.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return teaseltack.Load{
		Level:    g.advice.Level(),
		InFlight: g.inFlight + g.queue.Len(),
		Limit:    g.limit.Current(),
	}
}

// Package admit is the admission control of a backend server: it runs as many calls as
// the adaptive limit allows, queues the rest in order of priority for a bounded
// time, and refuses what cannot be answered in time.
//
// Each method has a lane with its queue, its share of the limit and its
// admission level. A protected call is not bound by its lane's share. It is
// refused for overload only when no less important call is queued: the refusal
// evicts those first.
package admit

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"teaseltack"
	"teaseltack/core/limit"
)

const (
	// sweepPeriod is the period of the search for waiters past their time.
	sweepPeriod = 5 * time.Millisecond
	// lateDivisor gives the wait from which a call counts as late, as a part of
	// the longest wait.
	lateDivisor = 4
	// belowDivisor gives the wait below a call that its method's share aims at,
	// as a part of the longest wait.
	belowDivisor = 4
	// protectedPatience is how much longer a protected call may wait.
	protectedPatience = 4
	// maxLanes bounds the methods that are told apart; others share a lane.
	maxLanes = 256
)

// Config configures a gate.
type Config struct {
	Timers      teaseltack.Timers
	Slots       int
	Connections int
	// MaxWait bounds the time in the queue.
	MaxWait time.Duration
	// MaxNestedWait bounds it for nested calls; zero selects the
	// bound of their class.
	MaxNestedWait time.Duration
	// MinShare is the share of the limit reserved for each method ahead of nested calls
	// whose root is not known; with zero, nested calls always go first.
	MinShare float64
}

// Gate admits calls. It is safe for concurrent use.
type Gate struct {
	timers     teaseltack.Timers
	maxWait    time.Duration
	nestedWait time.Duration
	leastShare float64

	mu       sync.Mutex
	limit    *limit.Limit
	lanes    map[teaseltack.Method]*lane
	inFlight int
	// sweeping is set while the next sweep is subscribed; a gate without waiters
	// and levels needs none.
	sweeping bool
	closed   bool
}

var _ teaseltack.Gate = (*Gate)(nil)

// New returns a gate that subscribes to the timers, while calls wait, until
// Close.
func New(cfg Config) *Gate {
	return &Gate{
		timers:     cfg.Timers,
		maxWait:    cfg.MaxWait,
		nestedWait: cfg.MaxNestedWait,
		leastShare: cfg.MinShare,
		limit:      limit.New(cfg.Slots, cfg.Connections),
		lanes:      map[teaseltack.Method]*lane{},
	}
}

// Close ends the subscription to the timers.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// sweepSoon subscribes the next sweep if one is needed.
func (g *Gate) sweepSoon() {
	if g.sweeping || g.closed || g.quiet() {
		return
	}
	g.sweeping = true
	g.timers.After(sweepPeriod, g.sweep)
}

func (g *Gate) quiet() bool {
	for _, l := range g.lanes {
		if l.queue.Len() > 0 || !l.admission.Idle() {
			return false
		}
	}
	return true
}

// decision is a waiter's fate, told after the lock is released.
type decision struct {
	waiter  *teaseltack.Waiter
	refusal *teaseltack.Refusal
}

// tell passes the decisions of one moment on, the least important call first.
func tell(decisions []decision) {
	slices.SortStableFunc(decisions, func(a, b decision) int {
		return cmp.Compare(a.waiter.Priority.Class, b.waiter.Priority.Class)
	})
	for _, d := range decisions {
		d.waiter.Decide(d.refusal)
	}
}

// lane returns the lane of a method.
func (g *Gate) lane(method teaseltack.Method) *lane {
	if l := g.lanes[method]; l != nil {
		return l
	}
	if len(g.lanes) >= maxLanes {
		method = ""
	}
	if g.lanes[method] == nil {
		g.lanes[method] = newLane(g.timers.Now(), g.maxWait/lateDivisor, g.maxWait/belowDivisor)
	}
	return g.lanes[method]
}

// Offer decides on a waiter now or later by one call of its Decide.
func (g *Gate) Offer(w *teaseltack.Waiter) {
	g.mu.Lock()
	now := g.timers.Now()
	w.Arrived = now
	w.Index = -1
	l := g.lane(w.Method)
	l.admission.Advance(now)
	l.admission.Offered(w.Priority)
	decisions := g.offer(l, w, now)
	decisions = append(decisions, g.fill(now)...)
	g.sweepSoon()
	g.mu.Unlock()
	tell(decisions)
}

func (g *Gate) offer(l *lane, w *teaseltack.Waiter, now time.Time) []decision {
	remaining := w.Deadline.Sub(now)
	if remaining <= l.recent/2 {
		return []decision{{w, teaseltack.Refuse(teaseltack.ReasonLifetime,
			"%v left, the server takes %v", remaining, l.recent)}}
	}
	longest := min(g.patience(w.Priority), remaining-l.recent)
	forServer := g.waitForServer(w.Priority)
	if g.assured(l, l.queue.Len()) {
		forServer = 0
	}
	if forServer <= longest && g.waitForShare(l, w.Priority) <= longest {
		l.queue.Push(w)
		return nil
	}
	var decisions []decision
	if forServer > longest {
		decisions = g.evictBelow(w.Priority.Class)
	}
	return append(decisions, decision{w, g.overload(l, "expected wait above %v", longest)})
}

// evictBelow refuses the queued calls that are less important than the class.
func (g *Gate) evictBelow(class teaseltack.Class) []decision {
	var decisions []decision
	for _, l := range g.lanes {
		if g.assured(l, 0) {
			continue
		}
		for _, w := range l.queue.RemoveIf(func(w *teaseltack.Waiter) bool { return w.Priority.Class < class }) {
			refusal := g.overload(l, "a %s call needed the place", class)
			refusal.Reason = teaseltack.ReasonEvicted
			decisions = append(decisions, decision{w, refusal})
		}
	}
	return decisions
}

// fill admits waiters while there is room and drops those past their time.
func (g *Gate) fill(now time.Time) []decision {
	var decisions []decision
	for g.inFlight < g.limit.Current() {
		l := g.next()
		if l == nil {
			break
		}
		w := l.queue.Pop()
		if now.Add(l.recent / 2).After(w.Deadline) {
			decisions = append(decisions, g.evictBelow(w.Priority.Class)...)
			decisions = append(decisions, decision{w, g.overload(l, "waited %v", now.Sub(w.Arrived))})
			continue
		}
		g.inFlight++
		l.share.Begin()
		w.Started = now
		if w.Priority.Class != teaseltack.ClassProtected {
			l.admission.Waited(now.Sub(w.Arrived))
		}
		decisions = append(decisions, decision{w, nil})
	}
	return decisions
}

// next returns the lane whose first waiter is the most important of those that
// their shares let run.
func (g *Gate) next() *lane {
	var best *lane
	for _, l := range g.lanes {
		w := l.queue.Peek()
		if w == nil {
			continue
		}
		if !unbound(w.Priority) && !l.share.HasRoom(g.limit.Current()) {
			continue
		}
		if best == nil || g.before(l, best) {
			best = l
		}
	}
	return best
}

// before reports whether the first waiter of a lane goes before that of another:
// by priority, but for a method without its least share of the limit beside
// nested calls.
func (g *Gate) before(l, other *lane) bool {
	w, o := l.queue.Peek(), other.queue.Peek()
	if w.Priority.Nested != o.Priority.Nested && g.leastShare > 0 {
		if o.Priority.Nested && g.assured(l, 0) {
			return true
		}
		if w.Priority.Nested && g.assured(other, 0) {
			return false
		}
	}
	return o.Priority.Less(w.Priority)
}

// Withdraw takes back a waiter; false means that it was decided before.
func (g *Gate) Withdraw(w *teaseltack.Waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lane(w.Method).queue.Remove(w)
}

// Release ends an admitted call.
func (g *Gate) Release(w *teaseltack.Waiter, outcome teaseltack.Outcome) {
	g.mu.Lock()
	now := g.timers.Now()
	l := g.lane(w.Method)
	work := now.Sub(w.Started)
	switch outcome {
	case teaseltack.OutcomeComplete:
		g.limit.Succeed(now, work, g.inFlight)
		l.succeed(work)
	case teaseltack.OutcomeFailed:
		g.limit.Fail()
	case teaseltack.OutcomeErrored:
		l.admission.Completed()
	case teaseltack.OutcomeCancelled:
		g.limit.Abandon(now, work)
	}
	l.share.End(w.NestedWait, g.limit.Current())
	g.inFlight--
	decisions := g.fill(now)
	g.mu.Unlock()
	tell(decisions)
}

// sweep refuses the waiters that stood too long and advances the admission levels. Less
// important waiters never outlast a more important one that the server had no
// room for.
func (g *Gate) sweep() {
	g.mu.Lock()
	now := g.timers.Now()
	var decisions []decision
	highest := teaseltack.ClassLow
	for _, l := range g.lanes {
		late := l.queue.RemoveIf(func(w *teaseltack.Waiter) bool {
			return now.Sub(w.Arrived) >= g.patience(w.Priority) || !now.Before(w.Deadline)
		})
		for _, w := range late {
			decisions = append(decisions, decision{w, g.overload(l, "waited %v", now.Sub(w.Arrived))})
			if unbound(w.Priority) || l.share.HasRoom(g.limit.Current()) {
				highest = max(highest, w.Priority.Class)
			}
		}
	}
	decisions = append(decisions, g.evictBelow(highest)...)
	decisions = append(decisions, g.fill(now)...)
	for _, l := range g.lanes {
		l.admission.Advance(now)
	}
	g.sweeping = false
	g.sweepSoon()
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

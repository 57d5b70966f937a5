// Package admit is the admission control of a backend server: it runs as many calls as
// the adaptive limit allows, queues the rest in order of priority for a bounded
// time, and refuses calls that cannot be answered in time.
//
// Each method has its own queue, share of the limit and admission level. A
// protected call may exceed its method's share. It is refused for overload only
// when no less important call is queued, except calls of methods below their minimum
// share: the refusal evicts the others first.
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
	// sweepPeriod is the period of the search for waiters whose queue time or
	// deadline has passed.
	sweepPeriod = 5 * time.Millisecond
	// lateWaitDivisor sets the wait above which an admitted call counts as late:
	// the maximum wait divided by it.
	lateWaitDivisor = 4
	// nestedWaitDivisor sets the target for the queue wait of a method's nested
	// calls, by which its share is adjusted: the maximum wait divided by it.
	nestedWaitDivisor = 4
	// protectedWaitFactor is the maximum wait of a protected call, as a multiple of
	// the maximum wait of other calls.
	protectedWaitFactor = 4
	// maxMethods bounds the methods with their own state; the methods beyond it
	// share one.
	maxMethods = 256
)

// Config configures a gate.
type Config struct {
	Timers      teaseltack.Timers
	Slots       int
	Connections int
	// MaxWait bounds the time in the queue.
	MaxWait time.Duration
	// MaxNestedWait bounds the time in the queue for nested calls; zero selects the
	// bound of their class.
	MaxNestedWait time.Duration
	// MinShare is the share of the limit reserved for each method ahead of nested calls
	// whose root is not known; with zero, nested calls always go first.
	MinShare float64
}

// Gate admits calls. It is safe for concurrent use.
type Gate struct {
	timers        teaseltack.Timers
	maxWait       time.Duration
	maxNestedWait time.Duration
	minShare      float64

	mu       sync.Mutex
	limit    *limit.Limit
	methods  map[teaseltack.Method]*methodState
	inFlight int
	// sweepScheduled is set while a timer for the next sweep runs. A gate needs no
	// sweep while no call waits and no level has to be adjusted.
	sweepScheduled bool
	closed         bool
}

var _ teaseltack.Gate = (*Gate)(nil)

// New returns a gate. While calls wait or levels have to be adjusted, it uses timers,
// until Close.
func New(cfg Config) *Gate {
	return &Gate{
		timers:        cfg.Timers,
		maxWait:       cfg.MaxWait,
		maxNestedWait: cfg.MaxNestedWait,
		minShare:      cfg.MinShare,
		limit:         limit.New(cfg.Slots, cfg.Connections),
		methods:       map[teaseltack.Method]*methodState{},
	}
}

// Close stops the scheduling of sweeps.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// scheduleSweep schedules the next sweep if one is needed.
func (g *Gate) scheduleSweep() {
	if g.sweepScheduled || g.closed || g.idle() {
		return
	}
	g.sweepScheduled = true
	g.timers.After(sweepPeriod, g.sweep)
}

func (g *Gate) idle() bool {
	for _, m := range g.methods {
		if m.queue.Len() > 0 || !m.admission.Idle() {
			return false
		}
	}
	return true
}

// decision is the admission (a nil refusal) or the refusal of a waiter. It is
// delivered after the gate's lock is released.
type decision struct {
	waiter  *teaseltack.Waiter
	refusal *teaseltack.Refusal
}

// deliver passes simultaneous decisions to their waiters, the least important call
// first, so that a protected call is refused only after the calls evicted for it.
func deliver(decisions []decision) {
	slices.SortStableFunc(decisions, func(a, b decision) int {
		return cmp.Compare(a.waiter.Priority.Class, b.waiter.Priority.Class)
	})
	for _, d := range decisions {
		d.waiter.Decide(d.refusal)
	}
}

// method returns the state of a method.
func (g *Gate) method(name teaseltack.Method) *methodState {
	if m := g.methods[name]; m != nil {
		return m
	}
	if len(g.methods) >= maxMethods {
		name = ""
	}
	if g.methods[name] == nil {
		g.methods[name] = newMethodState(g.timers.Now(), g.maxWait/lateWaitDivisor, g.maxWait/nestedWaitDivisor)
	}
	return g.methods[name]
}

// Offer admits, refuses or queues a waiter. The waiter's Decide is called exactly
// once, now or later, without the gate's lock, unless Withdraw returns true.
func (g *Gate) Offer(w *teaseltack.Waiter) {
	g.mu.Lock()
	now := g.timers.Now()
	w.Arrived = now
	w.Index = -1
	m := g.method(w.Method)
	m.admission.Advance(now)
	m.admission.Offered(w.Priority)
	decisions := g.offerLocked(m, w, now)
	decisions = append(decisions, g.admitQueued(now)...)
	g.scheduleSweep()
	g.mu.Unlock()
	deliver(decisions)
}

func (g *Gate) offerLocked(m *methodState, w *teaseltack.Waiter, now time.Time) []decision {
	remaining := w.Deadline.Sub(now)
	if remaining <= m.meanLatency/2 {
		return []decision{{w, teaseltack.Refuse(teaseltack.ReasonLifetime,
			"%v left, the backend server takes %v", remaining, m.meanLatency)}}
	}
	allowedWait := min(g.maxQueueTime(w.Priority), remaining-m.meanLatency)
	serverWait := g.estimateServerWait(w.Priority)
	if g.belowMinShare(m, m.queue.Len()) {
		serverWait = 0
	}
	if serverWait <= allowedWait && g.estimateShareWait(m, w.Priority) <= allowedWait {
		m.queue.Push(w)
		return nil
	}
	var decisions []decision
	if serverWait > allowedWait {
		decisions = g.evictBelow(w.Priority.Class)
	}
	return append(decisions, decision{w, g.refuseOverload(m, "expected wait above %v", allowedWait)})
}

// evictBelow refuses the queued calls of less important classes, except those of
// methods below their minimum share.
func (g *Gate) evictBelow(class teaseltack.Class) []decision {
	var decisions []decision
	for _, m := range g.methods {
		if g.belowMinShare(m, 0) {
			continue
		}
		for _, w := range m.queue.RemoveIf(func(w *teaseltack.Waiter) bool { return w.Priority.Class < class }) {
			refusal := g.refuseOverload(m, "evicted for a call of class %s", class)
			refusal.Reason = teaseltack.ReasonEvicted
			decisions = append(decisions, decision{w, refusal})
		}
	}
	return decisions
}

// admitQueued admits waiters up to the limit and refuses those that the server
// could no longer answer before their deadline.
func (g *Gate) admitQueued(now time.Time) []decision {
	var decisions []decision
	for g.inFlight < g.limit.Current() {
		m := g.next()
		if m == nil {
			break
		}
		w := m.queue.Pop()
		if now.Add(m.meanLatency / 2).After(w.Deadline) {
			decisions = append(decisions, g.evictBelow(w.Priority.Class)...)
			decisions = append(decisions, decision{w, g.refuseOverload(m, "waited %v", now.Sub(w.Arrived))})
			continue
		}
		g.inFlight++
		m.share.Begin()
		w.Started = now
		if w.Priority.Class != teaseltack.ClassProtected {
			m.admission.Waited(now.Sub(w.Arrived))
		}
		decisions = append(decisions, decision{w, nil})
	}
	return decisions
}

// next returns the method whose first waiter is admitted next, or nil. Methods that
// have used up their share are left out, unless their first waiter is exempt.
func (g *Gate) next() *methodState {
	var best *methodState
	for _, m := range g.methods {
		w := m.queue.Peek()
		if w == nil {
			continue
		}
		if !exemptFromShare(w.Priority) && !m.share.HasRoom(g.limit.Current()) {
			continue
		}
		if best == nil || g.precedes(m, best) {
			best = m
		}
	}
	return best
}

// precedes reports whether the first waiter of one method is admitted before that of
// another. Priority decides, except that a method below its minimum share precedes
// nested calls.
func (g *Gate) precedes(m, other *methodState) bool {
	w, o := m.queue.Peek(), other.queue.Peek()
	if w.Priority.Nested != o.Priority.Nested && g.minShare > 0 {
		if o.Priority.Nested && g.belowMinShare(m, 0) {
			return true
		}
		if w.Priority.Nested && g.belowMinShare(other, 0) {
			return false
		}
	}
	return o.Priority.Less(w.Priority)
}

// Withdraw removes a queued waiter; false means that it was decided before.
func (g *Gate) Withdraw(w *teaseltack.Waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.method(w.Method).queue.Remove(w)
}

// Release reports the end of an admitted call and frees its slot.
func (g *Gate) Release(w *teaseltack.Waiter, outcome teaseltack.Outcome) {
	g.mu.Lock()
	now := g.timers.Now()
	m := g.method(w.Method)
	work := now.Sub(w.Started)
	switch outcome {
	case teaseltack.OutcomeComplete:
		g.limit.Succeed(now, work, g.inFlight)
		m.recordComplete(work)
	case teaseltack.OutcomeFailed:
		g.limit.Fail()
	case teaseltack.OutcomeErrored:
		m.admission.Completed()
	case teaseltack.OutcomeCancelled:
		g.limit.Abandon(now, work)
	}
	m.share.End(w.NestedWait, g.limit.Current())
	g.inFlight--
	decisions := g.admitQueued(now)
	g.mu.Unlock()
	deliver(decisions)
}

// sweep refuses the waiters whose queue time or deadline has passed and adjusts the
// admission levels. When it refuses a call for lack of server capacity, it also
// evicts the queued calls of less important classes, so that no call that evictBelow may
// evict stays queued longer than a more important one.
func (g *Gate) sweep() {
	g.mu.Lock()
	now := g.timers.Now()
	var decisions []decision
	highestRefused := teaseltack.ClassLow
	for _, m := range g.methods {
		expired := m.queue.RemoveIf(func(w *teaseltack.Waiter) bool {
			return now.Sub(w.Arrived) >= g.maxQueueTime(w.Priority) || !now.Before(w.Deadline)
		})
		for _, w := range expired {
			decisions = append(decisions, decision{w, g.refuseOverload(m, "waited %v", now.Sub(w.Arrived))})
			if exemptFromShare(w.Priority) || m.share.HasRoom(g.limit.Current()) {
				highestRefused = max(highestRefused, w.Priority.Class)
			}
		}
	}
	decisions = append(decisions, g.evictBelow(highestRefused)...)
	decisions = append(decisions, g.admitQueued(now)...)
	for _, m := range g.methods {
		m.admission.Advance(now)
	}
	g.sweepScheduled = false
	g.scheduleSweep()
	g.mu.Unlock()
	deliver(decisions)
}

// Resize sets the slots and connections that the server announced. A server that
// has just started (cold) gets a new limit.
func (g *Gate) Resize(slots, connections int, cold bool) {
	g.mu.Lock()
	if cold {
		g.limit = limit.New(slots, connections)
	} else {
		g.limit.Resize(slots, connections)
	}
	decisions := g.admitQueued(g.timers.Now())
	g.mu.Unlock()
	deliver(decisions)
}

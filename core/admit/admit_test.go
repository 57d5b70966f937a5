package admit_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"teaseltack"
	"teaseltack/core/admit"
	"teaseltack/io/clock"
)

// inBubble hides the type *testing.T from rapid, which would otherwise call
// Deadline; that is not allowed in a synctest bubble.
type inBubble struct{ *testing.T }

// decisionsMu protects the decision fields of all offered calls and a test's list of
// them, since the gate decides on the test's goroutine and on timer goroutines.
var decisionsMu sync.Mutex

const maxWait = 100 * time.Millisecond

func newGate(slots int) *admit.Gate {
	return admit.New(admit.Config{Timers: clock.Clock{}, Slots: slots, Connections: 8 * slots, MaxWait: maxWait})
}

// offeredCall is one call and the gate's decision on it.
type offeredCall struct {
	waiter   *teaseltack.Waiter
	decided  int
	refusal  *teaseltack.Refusal
	running  bool
	released bool
}

// state returns the number of decisions, the last refusal and whether the call runs.
func (c *offeredCall) state() (decided int, refusal *teaseltack.Refusal, running bool) {
	decisionsMu.Lock()
	defer decisionsMu.Unlock()
	return c.decided, c.refusal, c.running
}

// runs reports whether the call was admitted and not released yet.
func (c *offeredCall) runs() bool {
	_, _, running := c.state()
	return running && !c.released
}

// offer offers a call to the gate. onDecide is called with each decision on it,
// with decisionsMu held.
func offer(g *admit.Gate, p teaseltack.Priority, method teaseltack.Method, lifetime time.Duration, onDecide func(*offeredCall)) *offeredCall {
	c := &offeredCall{}
	c.waiter = &teaseltack.Waiter{Method: method, Priority: p, Deadline: time.Now().Add(lifetime), Decide: func(r *teaseltack.Refusal) {
		decisionsMu.Lock()
		defer decisionsMu.Unlock()
		c.decided++
		c.refusal = r
		c.running = r == nil
		onDecide(c)
	}}
	g.Offer(c.waiter)
	return c
}

// TestProtectedCallsAreRefusedLast guards against a protected call that is refused
// for overload while a less important call is queued, and against calls that are
// decided never or twice. Random offers, releases and pauses provoke both.
func TestProtectedCallsAreRefusedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(inBubble{t}, func(r *rapid.T) {
			g := newGate(rapid.IntRange(1, 6).Draw(r, "slots"))
			defer g.Close()
			var calls []*offeredCall
			violation := ""
			check := func(c *offeredCall) {
				if c.refusal == nil || c.refusal.Reason != teaseltack.ReasonOverload || c.waiter.Priority.Class != teaseltack.ClassProtected {
					return
				}
				for _, other := range calls {
					if other.decided == 0 && other.waiter.Priority.Class < teaseltack.ClassProtected {
						violation = fmt.Sprintf("a protected call was refused (%v) while a %s call is queued", c.refusal, other.waiter.Priority.Class)
					}
				}
			}
			steps := rapid.IntRange(1, 150).Draw(r, "steps")
			for range steps {
				switch rapid.IntRange(0, 3).Draw(r, "step") {
				case 0, 1:
					p := teaseltack.Priority{
						Class:  teaseltack.Class(rapid.IntRange(0, 3).Draw(r, "class")),
						Nested: rapid.Bool().Draw(r, "nested"),
						Rank:   rapid.Uint32().Draw(r, "rank"),
					}
					method := rapid.SampledFrom([]teaseltack.Method{"a", "b"}).Draw(r, "method")
					lifetime := time.Duration(rapid.IntRange(1, 800).Draw(r, "lifetime ms")) * time.Millisecond
					c := offer(g, p, method, lifetime, check)
					decisionsMu.Lock()
					calls = append(calls, c)
					decisionsMu.Unlock()
				case 2:
					releaseOne(r, g, calls)
				case 3:
					time.Sleep(time.Duration(rapid.IntRange(1, 40).Draw(r, "pause ms")) * time.Millisecond)
					synctest.Wait()
				}
			}
			for _, c := range calls {
				if c.runs() {
					g.Release(c.waiter, teaseltack.OutcomeComplete)
					c.released = true
				}
			}
			drain(g, calls)
			decisionsMu.Lock()
			defer decisionsMu.Unlock()
			if violation != "" {
				r.Fatal(violation)
			}
			for i, c := range calls {
				if c.decided != 1 {
					r.Fatalf("call %d was decided %d times", i, c.decided)
				}
			}
			if load := g.Load("a"); load.InFlight != 0 {
				r.Fatalf("%d calls are counted as in flight after all calls ended", load.InFlight)
			}
		})
	})
}

func releaseOne(r *rapid.T, g *admit.Gate, calls []*offeredCall) {
	var running []*offeredCall
	for _, c := range calls {
		if c.runs() {
			running = append(running, c)
		}
	}
	if len(running) == 0 {
		return
	}
	c := rapid.SampledFrom(running).Draw(r, "released call")
	c.released = true
	c.waiter.NestedWait = time.Duration(rapid.IntRange(0, 60).Draw(r, "nested wait ms")) * time.Millisecond
	outcome := rapid.SampledFrom([]teaseltack.Outcome{teaseltack.OutcomeComplete, teaseltack.OutcomeFailed, teaseltack.OutcomeErrored, teaseltack.OutcomeCancelled}).Draw(r, "outcome")
	g.Release(c.waiter, outcome)
}

// drain releases running calls and the queued calls admitted in their place, until
// none is queued.
func drain(g *admit.Gate, calls []*offeredCall) {
	const rounds = 200
	for range rounds {
		for _, c := range calls {
			if c.runs() {
				c.released = true
				g.Release(c.waiter, teaseltack.OutcomeComplete)
			}
		}
		time.Sleep(maxWait / 10)
		synctest.Wait()
	}
}

// TestQueueIsBoundedInTime guards against a call that stays queued past the maximum
// wait because no running call ends.
func TestQueueIsBoundedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1)
		defer g.Close()
		running := offer(g, teaseltack.Priority{}, "a", time.Second, func(*offeredCall) {})
		assert.Assert(t, running.runs())
		queued := offer(g, teaseltack.Priority{}, "a", time.Second, func(*offeredCall) {})
		decided, _, _ := queued.state()
		assert.Equal(t, decided, 0)
		time.Sleep(2 * maxWait)
		synctest.Wait()
		decided, refusal, _ := queued.state()
		assert.Equal(t, decided, 1)
		assert.Equal(t, refusal.Verdict, teaseltack.NotRun)
	})
}

// TestWithdrawnCallIsNeverAdmitted guards against a call that is admitted after its
// caller withdrew it, which would occupy a slot for good.
func TestWithdrawnCallIsNeverAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1)
		defer g.Close()
		running := offer(g, teaseltack.Priority{}, "a", time.Second, func(*offeredCall) {})
		queued := offer(g, teaseltack.Priority{}, "a", time.Second, func(*offeredCall) {})
		assert.Assert(t, g.Withdraw(queued.waiter))
		g.Release(running.waiter, teaseltack.OutcomeComplete)
		decided, _, _ := queued.state()
		assert.Equal(t, decided, 0)
		assert.Assert(t, !g.Withdraw(queued.waiter))
	})
}

// TestColdServerStartsWithAPartOfItsSlots guards against sending a server calls for
// all its slots at once after its first start or a restart.
func TestColdServerStartsWithAPartOfItsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(40)
		defer g.Close()
		assert.Equal(t, g.Load("").Limit, 10)
		var calls []*offeredCall
		for range 30 {
			c := offer(g, teaseltack.Priority{}, "a", time.Second, func(*offeredCall) {})
			calls = append(calls, c)
		}
		for _, c := range calls {
			if c.runs() {
				time.Sleep(time.Millisecond)
				g.Release(c.waiter, teaseltack.OutcomeComplete)
			}
		}
		assert.Assert(t, g.Load("").Limit > 10, "the limit did not grow")
		g.Resize(40, 320, true)
		assert.Equal(t, g.Load("").Limit, 10)
	})
}

// TestMethodWaitingBelowLeavesSlotsToOthers guards against a method that holds all
// slots while its nested calls wait in queues of other services. Its share has to
// shrink, while protected calls may exceed the share.
func TestMethodWaitingBelowLeavesSlotsToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(8)
		defer g.Close()
		g.Resize(8, 64, false)
		var running []*offeredCall
		fill := func() {
			for range 12 {
				c := offer(g, teaseltack.Priority{Class: teaseltack.ClassNormal}, "deep", time.Second, func(*offeredCall) {})
				running = append(running, c)
			}
		}
		for range 60 {
			fill()
			time.Sleep(20 * time.Millisecond)
			for _, c := range running {
				if c.runs() {
					c.released = true
					c.waiter.NestedWait = 80 * time.Millisecond
					g.Release(c.waiter, teaseltack.OutcomeComplete)
				}
			}
		}
		fill()
		flat := offer(g, teaseltack.Priority{Class: teaseltack.ClassLow}, "flat", time.Second, func(*offeredCall) {})
		assert.Assert(t, flat.runs(), "a call without nested calls was not admitted beside a method with slow nested calls")
		protected := offer(g, teaseltack.Priority{Class: teaseltack.ClassProtected}, "deep", time.Second, func(*offeredCall) {})
		assert.Assert(t, protected.runs(), "a protected call was limited by its method's share")
	})
}

func BenchmarkOfferAndRelease(b *testing.B) {
	g := newGate(100)
	defer g.Close()
	b.ReportAllocs()
	for b.Loop() {
		w := &teaseltack.Waiter{Method: "a", Deadline: time.Now().Add(time.Second), Decide: func(*teaseltack.Refusal) {}}
		g.Offer(w)
		g.Release(w, teaseltack.OutcomeComplete)
	}
}

// TestAMethodHasItsLeastShareBesideNestedCalls guards against nested calls that fill
// the server and starve a method that callers use: that method gets its minimum
// share of the limit, and no more.
func TestAMethodHasItsLeastShareBesideNestedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots = 16
		g := admit.New(admit.Config{Timers: clock.Clock{}, Slots: slots, Connections: slots, MaxWait: time.Second, MaxNestedWait: time.Minute, MinShare: 0.25})
		defer g.Close()
		running, served := map[teaseltack.Method]int{}, map[teaseltack.Method]int{}
		var admitted []*teaseltack.Waiter
		offer := func(method teaseltack.Method, p teaseltack.Priority) {
			w := &teaseltack.Waiter{Method: method, Priority: p, Deadline: time.Now().Add(time.Hour)}
			w.Decide = func(r *teaseltack.Refusal) {
				if r == nil {
					running[method]++
					admitted = append(admitted, w)
				}
			}
			g.Offer(w)
		}
		for range 40 {
			offer("nested", teaseltack.Priority{Class: teaseltack.ClassProtected, Nested: true})
		}
		for range 10 {
			offer("own", teaseltack.Priority{Class: teaseltack.ClassNormal})
		}
		for range 100 {
			if len(admitted) == 0 {
				break
			}
			w := admitted[0]
			admitted = admitted[1:]
			running[w.Method]--
			served[w.Method]++
			time.Sleep(time.Millisecond)
			g.Release(w, teaseltack.OutcomeComplete)
			assert.Assert(t, running["own"] <= slots/4, "%v", running)
			offer("nested", teaseltack.Priority{Class: teaseltack.ClassProtected, Nested: true})
		}
		assert.Equal(t, served["own"], 10, "%v", served)
	})
}

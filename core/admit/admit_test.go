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

// inBubble hides the deadline of a test from rapid, which a bubble with fake
// time does not tell.
type inBubble struct{ *testing.T }

var decisions sync.Mutex

const maxWait = 100 * time.Millisecond

func newGate(slots int) *admit.Gate {
	return admit.New(admit.Config{Timers: clock.Clock{}, Slots: slots, Connections: 8 * slots, MaxWait: maxWait})
}

// visit is one call's stay at the gate. Decisions come from the test and from
// the timers, under one lock.
type visit struct {
	waiter   *teaseltack.Waiter
	decided  int
	refusal  *teaseltack.Refusal
	running  bool
	released bool
}

// state returns what was decided on the call.
func (v *visit) state() (decided int, refusal *teaseltack.Refusal, running bool) {
	decisions.Lock()
	defer decisions.Unlock()
	return v.decided, v.refusal, v.running
}

// runs reports whether the call runs and was not released.
func (v *visit) runs() bool {
	_, _, running := v.state()
	return running && !v.released
}

// offer puts a call before the gate and checks each decision at its moment.
func offer(g *admit.Gate, p teaseltack.Priority, method teaseltack.Method, lifetime time.Duration, onDecide func(*visit)) *visit {
	v := &visit{}
	v.waiter = &teaseltack.Waiter{Method: method, Priority: p, Deadline: time.Now().Add(lifetime), Decide: func(r *teaseltack.Refusal) {
		decisions.Lock()
		defer decisions.Unlock()
		v.decided++
		v.refusal = r
		v.running = r == nil
		onDecide(v)
	}}
	g.Offer(v.waiter)
	return v
}

func TestProtectedCallsAreRefusedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(inBubble{t}, func(r *rapid.T) {
			g := newGate(rapid.IntRange(1, 6).Draw(r, "slots"))
			defer g.Close()
			var visits []*visit
			violation := ""
			check := func(v *visit) {
				if v.refusal == nil || v.refusal.Reason != teaseltack.ReasonOverload || v.waiter.Priority.Class != teaseltack.ClassProtected {
					return
				}
				for _, other := range visits {
					if other.decided == 0 && other.waiter.Priority.Class < teaseltack.ClassProtected {
						violation = fmt.Sprintf("a protected call was refused (%v) while a %s call is queued", v.refusal, other.waiter.Priority.Class)
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
					v := offer(g, p, method, lifetime, check)
					decisions.Lock()
					visits = append(visits, v)
					decisions.Unlock()
				case 2:
					releaseOne(r, g, visits)
				case 3:
					time.Sleep(time.Duration(rapid.IntRange(1, 40).Draw(r, "pause ms")) * time.Millisecond)
					synctest.Wait()
				}
			}
			for _, v := range visits {
				if v.runs() {
					g.Release(v.waiter, teaseltack.OutcomeComplete)
					v.released = true
				}
			}
			drain(g, visits)
			decisions.Lock()
			defer decisions.Unlock()
			if violation != "" {
				r.Fatal(violation)
			}
			for i, v := range visits {
				if v.decided != 1 {
					r.Fatalf("call %d was decided %d times", i, v.decided)
				}
			}
			if load := g.Load("a"); load.InFlight != 0 {
				r.Fatalf("%d calls are counted after all ended", load.InFlight)
			}
		})
	})
}

func releaseOne(r *rapid.T, g *admit.Gate, visits []*visit) {
	var running []*visit
	for _, v := range visits {
		if v.runs() {
			running = append(running, v)
		}
	}
	if len(running) == 0 {
		return
	}
	v := rapid.SampledFrom(running).Draw(r, "ending")
	v.released = true
	v.waiter.NestedWait = time.Duration(rapid.IntRange(0, 60).Draw(r, "waited below ms")) * time.Millisecond
	outcome := rapid.SampledFrom([]teaseltack.Outcome{teaseltack.OutcomeComplete, teaseltack.OutcomeFailed, teaseltack.OutcomeErrored, teaseltack.OutcomeCancelled}).Draw(r, "outcome")
	g.Release(v.waiter, outcome)
}

// drain ends the calls that the last releases let in, until none is queued.
func drain(g *admit.Gate, visits []*visit) {
	const rounds = 200
	for range rounds {
		for _, v := range visits {
			if v.runs() {
				v.released = true
				g.Release(v.waiter, teaseltack.OutcomeComplete)
			}
		}
		time.Sleep(maxWait / 10)
		synctest.Wait()
	}
}

func TestQueueIsBoundedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1)
		defer g.Close()
		running := offer(g, teaseltack.Priority{}, "a", time.Second, func(*visit) {})
		assert.Assert(t, running.runs())
		queued := offer(g, teaseltack.Priority{}, "a", time.Second, func(*visit) {})
		decided, _, _ := queued.state()
		assert.Equal(t, decided, 0)
		time.Sleep(2 * maxWait)
		synctest.Wait()
		decided, refusal, _ := queued.state()
		assert.Equal(t, decided, 1)
		assert.Equal(t, refusal.Verdict, teaseltack.NotRun)
	})
}

func TestWithdrawnCallIsNeverAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1)
		defer g.Close()
		running := offer(g, teaseltack.Priority{}, "a", time.Second, func(*visit) {})
		queued := offer(g, teaseltack.Priority{}, "a", time.Second, func(*visit) {})
		assert.Assert(t, g.Withdraw(queued.waiter))
		g.Release(running.waiter, teaseltack.OutcomeComplete)
		decided, _, _ := queued.state()
		assert.Equal(t, decided, 0)
		assert.Assert(t, !g.Withdraw(queued.waiter))
	})
}

func TestColdServerStartsWithAPartOfItsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(40)
		defer g.Close()
		assert.Equal(t, g.Load("").Limit, 10)
		var visits []*visit
		for range 30 {
			v := offer(g, teaseltack.Priority{}, "a", time.Second, func(*visit) {})
			visits = append(visits, v)
		}
		for _, v := range visits {
			if v.runs() {
				time.Sleep(time.Millisecond)
				g.Release(v.waiter, teaseltack.OutcomeComplete)
			}
		}
		assert.Assert(t, g.Load("").Limit > 10, "the limit did not grow")
		g.Resize(40, 320, true)
		assert.Equal(t, g.Load("").Limit, 10)
	})
}

// A share keeps a method whose calls wait below from holding all slots.
func TestMethodWaitingBelowLeavesSlotsToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(8)
		defer g.Close()
		g.Resize(8, 64, false)
		var running []*visit
		fill := func() {
			for range 12 {
				v := offer(g, teaseltack.Priority{Class: teaseltack.ClassNormal}, "deep", time.Second, func(*visit) {})
				running = append(running, v)
			}
		}
		for range 60 {
			fill()
			time.Sleep(20 * time.Millisecond)
			for _, v := range running {
				if v.runs() {
					v.released = true
					v.waiter.NestedWait = 80 * time.Millisecond
					g.Release(v.waiter, teaseltack.OutcomeComplete)
				}
			}
		}
		fill()
		flat := offer(g, teaseltack.Priority{Class: teaseltack.ClassLow}, "flat", time.Second, func(*visit) {})
		assert.Assert(t, flat.runs(), "the less important call that waits for nothing below found no slot")
		protected := offer(g, teaseltack.Priority{Class: teaseltack.ClassProtected}, "deep", time.Second, func(*visit) {})
		assert.Assert(t, protected.runs(), "a protected call was bound by its method's share")
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

// TestAMethodHasItsLeastShareBesideNestedCalls keeps a server full of nested
// calls: a caller's own method still gets its part of the limit and no more.
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

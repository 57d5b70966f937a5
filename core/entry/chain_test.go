package entry_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"teaseltack"
)

// inBubble hides the type *testing.T from rapid, which would call its Deadline
// method. In a synctest bubble that call panics.
type inBubble struct{ *testing.T }

// drawFaults draws a list of faults beforehand and returns a function that goes
// through it, since rapid's draws are not safe for concurrent use. Calls of
// that function need a lock.
func drawFaults(t *rapid.T, kinds []fault) func() fault {
	list := rapid.SliceOfN(rapid.SampledFrom(kinds), 20, 60).Draw(t, "troubles")
	next := 0
	return func() fault {
		next++
		return list[next%len(list)]
	}
}

var networkFaults = []fault{fine, fine, fine, loseRequest, loseAnswer, duplicateRequest, swapAnswer, slowServer, refuseConnection}

// Guards against retries that multiply along a call chain: lost answers,
// duplicates and servers that drop the context must not let the chain spend
// more than the root's retries.
func TestRetriesOfTheWholeChainAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(inBubble{t}, func(r *rapid.T) {
			depth := rapid.IntRange(1, 5).Draw(r, "depth")
			fanOut := rapid.IntRange(1, 3).Draw(r, "fan-out")
			retries := teaseltack.Retries(rapid.IntRange(0, 6).Draw(r, "retries"))
			f := newChain(depth, fanOut, retries)
			defer f.stop()
			f.parallel = rapid.Bool().Draw(r, "parallel")
			f.dropContext = rapid.Bool().Draw(r, "server drops the context")
			f.nextFault = drawFaults(r, networkFaults)
			f.order[0].entry.Load().Serve(context.Background(), &teaseltack.Request{
				ID: "root", Target: target("s0", "do"), Retries: -1, CallerAttempt: 0, Payload: teaseltack.Payload{Body: []byte("b")},
			})
			synctest.Wait()
			time.Sleep(5 * testLifetime)
			f.mu.Lock()
			defer f.mu.Unlock()
			spent := f.attempts() - f.serves
			if spent > int(retries) {
				r.Fatalf("%d retries were sent, %d are allowed", spent, retries)
			}
		})
	})
}

// attempts returns the number of forwarded calls. No call goes to a home on its
// entry's own host, so every attempt is forwarded and counted.
func (f *fakeFleet) attempts() int { return f.forwards }

// newChain makes a chain of services s0 to sN, in which each call makes fanOut
// nested calls to the next service, and a gateway host whose entry the caller
// uses.
func newChain(depth, fanOut int, retries teaseltack.Retries) *fakeFleet {
	services := map[teaseltack.Service]int{}
	for i := range depth {
		services[teaseltack.Service(fmt.Sprintf("s%d", i))] = 2
	}
	f := newFakeFleet(services)
	for i := range depth {
		t := target(fmt.Sprintf("s%d", i), "do")
		f.addPolicy(t, teaseltack.ClassNormal, false, retries)
		if i == 0 {
			continue
		}
		above := teaseltack.Service(fmt.Sprintf("s%d", i-1))
		for range fanOut {
			f.nested[above] = append(f.nested[above], t)
		}
	}
	f.addHost("gateway", 0)
	f.updateHomes()
	last := f.order[len(f.order)-1]
	f.order[0], f.order[len(f.order)-1] = last, f.order[0]
	return f
}

// Guards against a payment that runs twice, or whose verdict is wrong, when its
// copies arrive through several entries while hosts restart, the platform fails
// and a data centre is cut off.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(inBubble{t}, func(r *rapid.T) {
			f := newFakeFleet(map[teaseltack.Service]int{"till": 3, "gateway": 3})
			defer f.stop()
			pay := target("till", "pay")
			f.addPolicy(pay, teaseltack.ClassProtected, true, 3)
			f.nextFault = drawFaults(r, networkFaults)
			withTicket := rapid.Bool().Draw(r, "with ticket")
			copies := rapid.IntRange(1, 6).Draw(r, "copies")
			gaps := rapid.SliceOfN(rapid.IntRange(0, 1500), copies, copies).Draw(r, "gaps in ms")
			restartAt := rapid.IntRange(-1, copies-1).Draw(r, "restart before copy")
			f.store.loseNext = rapid.IntRange(0, 2).Draw(r, "lost writes")
			downAt := rapid.IntRange(-1, copies-1).Draw(r, "platform down at copy")
			cutAt := rapid.IntRange(-1, copies-1).Draw(r, "data centre cut at copy")
			healAt := rapid.IntRange(0, copies).Draw(r, "healed at copy")

			issued := teaseltack.Ticket("")
			if withTicket {
				tickets, refusal := f.order[0].entry.Load().Tickets(context.Background(), pay, teaseltack.LevelCount, 1)
				if refusal != nil {
					return
				}
				issued = tickets[0]
			}
			verdicts := make([]teaseltack.Verdict, copies)
			var group sync.WaitGroup
			for i := range copies {
				time.Sleep(time.Duration(gaps[i]) * time.Millisecond)
				if i == restartAt {
					for _, h := range f.order {
						h.restart(teaseltack.Incarnation(2 + i))
					}
				}
				if i == cutAt {
					f.setCutOff(map[teaseltack.HostID]bool{"till-0": true, "gateway-0": true})
				}
				if i == healAt {
					f.setCutOff(nil)
				}
				f.store.mu.Lock()
				f.store.down = i == downAt
				f.store.mu.Unlock()
				req := &teaseltack.Request{ID: "payment", Target: pay, CallerAttempt: i, Retries: -1, Payload: teaseltack.Payload{Body: []byte("payment")}}
				if withTicket {
					req.Ticket = issued
				} else {
					req.Key = "key"
				}
				entry := f.order[i%len(f.order)].entry.Load()
				group.Go(func() { verdicts[i] = entry.Serve(context.Background(), req).Verdict() })
			}
			group.Wait()
			time.Sleep(5 * testLifetime)
			runs := f.runsOf("payment")
			if runs > 1 {
				r.Fatalf("the payment ran %d times", runs)
			}
			for i, v := range verdicts {
				if v == teaseltack.Ran && runs == 0 {
					r.Fatalf("copy %d got verdict ran, the payment never ran", i)
				}
			}
			if runs == 1 && verdicts[copies-1] == teaseltack.NotRun {
				r.Fatalf("the last copy got verdict not-run, the payment ran; verdicts %v", verdicts)
			}
		})
	})
}

// Guards against the verdict not-run for a request that ran, and against the
// answer of another request, under network faults, callers that disconnect and
// a server that leaves.
func TestNotRunIsTrueAndAnswersAreOnesOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(inBubble{t}, func(r *rapid.T) {
			f := newFakeFleet(map[teaseltack.Service]int{"orders": 2, "gateway": 2})
			defer f.stop()
			lookUp, post := target("orders", "look-up"), target("orders", "post")
			f.addPolicy(lookUp, teaseltack.ClassNormal, false, 2)
			f.addPolicy(post, teaseltack.ClassProtected, true, 2)
			f.nextFault = drawFaults(r, networkFaults)
			count := rapid.IntRange(1, 40).Draw(r, "requests")
			callerTimeouts := rapid.SliceOfN(rapid.IntRange(1, 1200), count, count).Draw(r, "caller leaves after ms")
			leaveAt := rapid.IntRange(-1, count).Draw(r, "server leaves at request")
			var group sync.WaitGroup
			answers := make([]*teaseltack.Answer, count)
			for i := range count {
				if i == leaveAt {
					f.hosts["orders-0"].home.Load().SetServing("orders", teaseltack.Leaving)
				}
				name := fmt.Sprintf("request-%d", i)
				tgt := lookUp
				if i%3 == 0 {
					tgt = post
				}
				group.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration(callerTimeouts[i])*time.Millisecond)
					defer cancel()
					answers[i] = f.order[i%len(f.order)].entry.Load().Serve(ctx, &teaseltack.Request{
						ID: teaseltack.RequestID(name), Target: tgt, Retries: -1, Payload: teaseltack.Payload{Body: []byte(name)},
					})
				})
				if i%5 == 0 {
					time.Sleep(3 * time.Millisecond)
				}
			}
			group.Wait()
			time.Sleep(5 * testLifetime)
			for i, a := range answers {
				name := fmt.Sprintf("request-%d", i)
				if a.Verdict() == teaseltack.NotRun && f.runsOf(name) > 0 {
					r.Fatalf("%s got verdict not-run (%v) and ran %d times", name, a.Refusal, f.runsOf(name))
				}
				if a.Refusal == nil && string(a.Body) != name {
					r.Fatalf("%s got the answer of %q", name, a.Body)
				}
			}
		})
	})
}

// A call can reach its home after its ticket expired, for example when the
// home's process was suspended. The call must not run then.
func TestFrozenHomeDoesNotRunAnExpiredTicket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(map[teaseltack.Service]int{"till": 1, "gateway": 1})
		defer f.stop()
		pay := target("till", "pay")
		f.addPolicy(pay, teaseltack.ClassProtected, true, 0)
		tickets, refusal := f.hosts["till-0"].home.Load().IssueTickets(pay, 1)
		assert.Assert(t, refusal == nil)
		time.Sleep(ticketTime + time.Second)
		answer := f.hosts["till-0"].home.Load().Serve(context.Background(), &teaseltack.Call{
			ID: "a", Nonce: "n", Target: pay, NonIdempotent: true, Ticket: tickets[0], Deadline: time.Now().Add(time.Second),
		})
		assertVerdict(t, answer, teaseltack.MayHaveRun)
		assert.Equal(t, len(f.runs), 0)
	})
}

// Guards against a leaving server that still runs calls of entries with an
// outdated view, or calls with a ticket that was issued before it left.
func TestLeavingHomeRefusesStaleEntriesAndTickets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(map[teaseltack.Service]int{"till": 1, "gateway": 1})
		defer f.stop()
		pay := target("till", "pay")
		f.addPolicy(pay, teaseltack.ClassProtected, true, 0)
		tickets, refusal := f.hosts["till-0"].home.Load().IssueTickets(pay, 1)
		assert.Assert(t, refusal == nil)
		f.hosts["till-0"].home.Load().SetServing("till", teaseltack.Leaving)
		for _, issued := range []teaseltack.Ticket{tickets[0], ""} {
			answer := f.hosts["gateway-0"].entry.Load().Serve(context.Background(), &teaseltack.Request{
				ID: "a", Target: pay, Retries: -1, Ticket: issued, Payload: teaseltack.Payload{Body: []byte("p")},
			})
			assertVerdict(t, answer, teaseltack.NotRun)
			assert.Equal(t, answer.Refusal.Reason, teaseltack.ReasonLeaving)
		}
		assert.Equal(t, f.runsOf("p"), 0)
	})
}

// Guards against work that continues at the services below after the caller
// disconnected.
func TestCancellationReachesTheDepth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newChain(4, 1, 0)
		defer f.stop()
		for _, h := range f.order {
			h.work = 100 * time.Millisecond
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			f.order[0].entry.Load().Serve(ctx, &teaseltack.Request{ID: "root", Target: target("s0", "do"), Retries: -1})
			close(done)
		}()
		time.Sleep(350 * time.Millisecond)
		cancel()
		left := time.Now()
		<-done
		synctest.Wait()
		assert.Assert(t, time.Since(left) < 10*time.Millisecond, "the chain continued for %v after the cancellation", time.Since(left))
		for _, h := range f.order {
			assert.Equal(t, h.home.Load().InFlight(), 0, "calls still run at %s", h.record.Host)
		}
	})
}

// Guards against callers that raise class or retries above the policy, or name
// a method without one.
func TestLyingHeadersAreRefused(t *testing.T) {
	lookUp := target("orders", "look-up")
	requests := map[string]teaseltack.Request{
		"class above the policy's": {Target: lookUp, Class: teaseltack.ClassProtected, ClassSet: true, Retries: -1},
		"quota above the policy's": {Target: lookUp, Retries: 3},
		"unknown method":           {Target: target("orders", "other"), Retries: -1},
	}
	for name, request := range requests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(map[teaseltack.Service]int{"orders": 1, "gateway": 1})
				defer f.stop()
				f.addPolicy(lookUp, teaseltack.ClassNormal, false, 2)
				answer := f.hosts["gateway-0"].entry.Load().Serve(context.Background(), &request)
				assertVerdict(t, answer, teaseltack.NotRun)
				assert.Equal(t, f.forwards, 0)
			})
		})
	}
}

// An entry that refuses a repeat cannot know whether an earlier attempt ran
// through another daemon, so it must not return the verdict not-run.
func TestRefusedRepeatIsNotToldNotRun(t *testing.T) {
	pay := target("till", "pay")
	for name, test := range map[string]struct {
		request teaseltack.Request
		want    teaseltack.Verdict
	}{
		"first attempt with key":     {teaseltack.Request{Key: "k"}, teaseltack.NotRun},
		"repeat with key":            {teaseltack.Request{Key: "k", CallerAttempt: 1}, teaseltack.MayHaveRun},
		"uncounted with ticket":      {teaseltack.Request{Ticket: "t", CallerAttempt: teaseltack.UnknownAttempt}, teaseltack.MayHaveRun},
		"uncounted without identity": {teaseltack.Request{CallerAttempt: teaseltack.UnknownAttempt}, teaseltack.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(map[teaseltack.Service]int{"till": 1, "gateway": 1})
				defer f.stop()
				f.addPolicy(pay, teaseltack.ClassProtected, true, 0)
				gateway := f.hosts["gateway-0"]
				gateway.levels.Observe(pay, "till-0", teaseltack.Load{Level: teaseltack.LevelCount})
				req := test.request
				req.ID, req.Target, req.Retries = "a", pay, -1
				answer := gateway.entry.Load().Serve(context.Background(), &req)
				assert.Equal(t, answer.Refusal.Reason, teaseltack.ReasonPressure)
				assertVerdict(t, answer, test.want)
			})
		})
	}
}

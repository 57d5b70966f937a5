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

// inBubble hides the deadline of a test from rapid, which a bubble with fake
// time does not tell.
type inBubble struct{ *testing.T }

// drawTroubles returns a generator of trouble that is safe to call from any
// goroutine: the values are drawn beforehand.
func drawTroubles(t *rapid.T, kinds []trouble) func() trouble {
	list := rapid.SliceOfN(rapid.SampledFrom(kinds), 20, 60).Draw(t, "troubles")
	next := 0
	return func() trouble {
		next++
		return list[next%len(list)]
	}
}

var networkTroubles = []trouble{fine, fine, fine, loseRequest, loseAnswer, duplicateRequest, swapAnswer, slowServer, refuseConnection}

func TestRetriesOfTheWholeChainAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(inBubble{t}, func(r *rapid.T) {
			depth := rapid.IntRange(1, 5).Draw(r, "depth")
			fanOut := rapid.IntRange(1, 3).Draw(r, "fan-out")
			retries := teaseltack.Tokens(rapid.IntRange(0, 6).Draw(r, "retries"))
			f := newChain(depth, fanOut, retries)
			defer f.stop()
			f.parallel = rapid.Bool().Draw(r, "parallel")
			f.forget = rapid.Bool().Draw(r, "server forgets the context")
			f.draw = drawTroubles(r, networkTroubles)
			f.order[0].entry.Load().Serve(context.Background(), &teaseltack.Request{
				ID: "root", Target: target("s0", "do"), Retries: -1, Attempt: 0, Payload: teaseltack.Payload{Body: []byte("b")},
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

// attempts counts hand-overs; a test's chain has one host per service and no
// local ones among the callers.
func (f *fakeFleet) attempts() int { return f.forwards }

// newChain makes services s0 to sN, where each calls the next fanOut times, and
// a gateway host whose entry is used by the caller.
func newChain(depth, fanOut int, retries teaseltack.Tokens) *fakeFleet {
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
	f.tellHomes()
	last := f.order[len(f.order)-1]
	f.order[0], f.order[len(f.order)-1] = last, f.order[0]
	return f
}

func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(inBubble{t}, func(r *rapid.T) {
			f := newFakeFleet(map[teaseltack.Service]int{"till": 3, "gateway": 3})
			defer f.stop()
			pay := target("till", "pay")
			f.addPolicy(pay, teaseltack.ClassProtected, true, 3)
			f.draw = drawTroubles(r, networkTroubles)
			withTicket := rapid.Bool().Draw(r, "with ticket")
			copies := rapid.IntRange(1, 6).Draw(r, "copies")
			gaps := rapid.SliceOfN(rapid.IntRange(0, 1500), copies, copies).Draw(r, "gaps in ms")
			restartAt := rapid.IntRange(-1, copies-1).Draw(r, "restart before copy")
			f.store.loseNext = rapid.IntRange(0, 2).Draw(r, "lost writes")
			downAt := rapid.IntRange(-1, copies-1).Draw(r, "platform down at copy")
			cutAt := rapid.IntRange(-1, copies-1).Draw(r, "data centre cut at copy")
			healAt := rapid.IntRange(0, copies).Draw(r, "healed at copy")

			given := teaseltack.Ticket("")
			if withTicket {
				tickets, refusal := f.order[0].entry.Load().Tickets(context.Background(), pay, teaseltack.LevelCount, 1)
				if refusal != nil {
					return
				}
				given = tickets[0]
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
				a := &teaseltack.Request{ID: "payment", Target: pay, Attempt: i, Retries: -1, Payload: teaseltack.Payload{Body: []byte("payment")}}
				if withTicket {
					a.Ticket = given
				} else {
					a.Key = "key"
				}
				entry := f.order[i%len(f.order)].entry.Load()
				group.Go(func() { verdicts[i] = entry.Serve(context.Background(), a).Verdict() })
			}
			group.Wait()
			time.Sleep(5 * testLifetime)
			runs := f.runsOf("payment")
			if runs > 1 {
				r.Fatalf("the payment ran %d times", runs)
			}
			for i, v := range verdicts {
				if v == teaseltack.Ran && runs == 0 {
					r.Fatalf("copy %d was told ran, the payment never ran", i)
				}
			}
			if runs == 1 && verdicts[copies-1] == teaseltack.NotRun {
				r.Fatalf("the last copy was told not-run, the payment ran; verdicts %v", verdicts)
			}
		})
	})
}

func TestNotRunIsTrueAndAnswersAreOnesOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(inBubble{t}, func(r *rapid.T) {
			f := newFakeFleet(map[teaseltack.Service]int{"orders": 2, "gateway": 2})
			defer f.stop()
			look, post := target("orders", "look-up"), target("orders", "post")
			f.addPolicy(look, teaseltack.ClassNormal, false, 2)
			f.addPolicy(post, teaseltack.ClassProtected, true, 2)
			f.draw = drawTroubles(r, networkTroubles)
			count := rapid.IntRange(1, 40).Draw(r, "requests")
			patience := rapid.SliceOfN(rapid.IntRange(1, 1200), count, count).Draw(r, "caller leaves after ms")
			leaveAt := rapid.IntRange(-1, count).Draw(r, "server leaves at request")
			var group sync.WaitGroup
			answers := make([]*teaseltack.Answer, count)
			for i := range count {
				if i == leaveAt {
					f.hosts["orders-0"].home.Load().SetServing("orders", teaseltack.Leaving)
				}
				name := fmt.Sprintf("request-%d", i)
				tgt := look
				if i%3 == 0 {
					tgt = post
				}
				group.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration(patience[i])*time.Millisecond)
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
					r.Fatalf("%s was told not-run (%v) and ran %d times", name, a.Refusal, f.runsOf(name))
				}
				if a.Refusal == nil && string(a.Body) != name {
					r.Fatalf("%s got the answer of %q", name, a.Body)
				}
			}
		})
	})
}

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

func TestLeavingHomeRefusesStaleEntriesAndTickets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(map[teaseltack.Service]int{"till": 1, "gateway": 1})
		defer f.stop()
		pay := target("till", "pay")
		f.addPolicy(pay, teaseltack.ClassProtected, true, 0)
		tickets, refusal := f.hosts["till-0"].home.Load().IssueTickets(pay, 1)
		assert.Assert(t, refusal == nil)
		f.hosts["till-0"].home.Load().SetServing("till", teaseltack.Leaving)
		for _, given := range []teaseltack.Ticket{tickets[0], ""} {
			answer := f.hosts["gateway-0"].entry.Load().Serve(context.Background(), &teaseltack.Request{
				ID: "a", Target: pay, Retries: -1, Ticket: given, Payload: teaseltack.Payload{Body: []byte("p")},
			})
			assertVerdict(t, answer, teaseltack.NotRun)
			assert.Equal(t, answer.Refusal.Reason, teaseltack.ReasonLeaving)
		}
		assert.Equal(t, f.runsOf("p"), 0)
	})
}

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
		assert.Assert(t, time.Since(left) < 10*time.Millisecond, "the chain worked on for %v", time.Since(left))
		for _, h := range f.order {
			assert.Equal(t, h.home.Load().InFlight(), 0, "work goes on at %s", h.record.Host)
		}
	})
}

func TestLyingHeadersAreRefused(t *testing.T) {
	look := target("orders", "look-up")
	lies := map[string]teaseltack.Request{
		"class above the policy's": {Target: look, Class: teaseltack.ClassProtected, ClassSet: true, Retries: -1},
		"quota above the policy's": {Target: look, Retries: 3},
		"unknown method":           {Target: target("orders", "other"), Retries: -1},
	}
	for name, lie := range lies {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(map[teaseltack.Service]int{"orders": 1, "gateway": 1})
				defer f.stop()
				f.addPolicy(look, teaseltack.ClassNormal, false, 2)
				answer := f.hosts["gateway-0"].entry.Load().Serve(context.Background(), &lie)
				assertVerdict(t, answer, teaseltack.NotRun)
				assert.Equal(t, f.forwards, 0)
			})
		})
	}
}

// An entry that refuses a repeat by itself cannot know whether an earlier
// attempt ran through another daemon.
func TestRefusedRepeatIsNotToldNotRun(t *testing.T) {
	pay := target("till", "pay")
	for name, test := range map[string]struct {
		request teaseltack.Request
		want    teaseltack.Verdict
	}{
		"first attempt with key":     {teaseltack.Request{Key: "k"}, teaseltack.NotRun},
		"repeat with key":            {teaseltack.Request{Key: "k", Attempt: 1}, teaseltack.MayHaveRun},
		"uncounted with ticket":      {teaseltack.Request{Ticket: "t", Attempt: teaseltack.UnknownAttempt}, teaseltack.MayHaveRun},
		"uncounted without identity": {teaseltack.Request{Attempt: teaseltack.UnknownAttempt}, teaseltack.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(map[teaseltack.Service]int{"till": 1, "gateway": 1})
				defer f.stop()
				f.addPolicy(pay, teaseltack.ClassProtected, true, 0)
				gateway := f.hosts["gateway-0"]
				gateway.levels.Observe(pay, "till-0", teaseltack.Load{Level: teaseltack.LevelCount})
				a := test.request
				a.ID, a.Target, a.Retries = "a", pay, -1
				answer := gateway.entry.Load().Serve(context.Background(), &a)
				assert.Equal(t, answer.Refusal.Reason, teaseltack.ReasonPressure)
				assertVerdict(t, answer, test.want)
			})
		})
	}
}

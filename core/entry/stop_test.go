package entry_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"teaseltack"
)

// Guards against a request that a stopping entry passes on although it may last longer
// than the entry, and against refusing one that ends before, a nested call or a true
// verdict for a repeat.
func TestAStoppingEntryPassesOnOnlyWhatEndsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(inBubble{t}, func(r *rapid.T) {
			f := newFakeFleet(map[teaseltack.Service]int{"till": 1, "gateway": 1})
			defer f.stop()
			f.addPolicy(target("till", "pay"), teaseltack.ClassNormal, true, 0)
			left := time.Duration(rapid.IntRange(-1000, 2000).Draw(r, "left in ms")) * time.Millisecond
			request := &teaseltack.Request{
				ID: "root", Target: target("till", "pay"), Retries: -1, Nested: rapid.Bool().Draw(r, "nested"),
				Lifetime: time.Duration(rapid.IntRange(0, 1500).Draw(r, "lifetime in ms")) * time.Millisecond,
				Payload:  teaseltack.Payload{Body: []byte("b")},
			}
			if rapid.Bool().Draw(r, "repeat") {
				request.CallerAttempt, request.Ticket = 1, "unknown"
			}
			lasts := testLifetime
			if request.Lifetime > 0 {
				lasts = min(lasts, request.Lifetime)
			}
			gateway := f.hosts["gateway-0"]
			gateway.endsAt = time.Now().Add(left)
			answer := gateway.entry.Load().Serve(context.Background(), request)
			refused := answer.Refusal != nil && answer.Refusal.Reason == teaseltack.ReasonNotReady
			assert.Equal(r, refused, !request.Nested && lasts > left, "%v", answer.Refusal)
			if refused {
				assert.Equal(r, answer.Verdict() == teaseltack.NotRun, !request.MayHaveRunEarlier())
				assert.Equal(r, f.runsOf("b"), 0)
			}
		})
	})
}

func TestAnEntryThatDoesNotStopServesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(map[teaseltack.Service]int{"till": 1, "gateway": 1})
		defer f.stop()
		f.addPolicy(target("till", "pay"), teaseltack.ClassNormal, true, 0)
		answer := f.hosts["gateway-0"].entry.Load().Serve(context.Background(), &teaseltack.Request{ID: "root", Target: target("till", "pay"), Retries: -1})
		assertVerdict(t, answer, teaseltack.Ran)
	})
}

package active_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	operatorv1 "teaseltack/gen/teaseltack/operator/v1"

	"teaseltack"
	"teaseltack/core/active"
	"teaseltack/io/clock"
)

func newHolder() *active.Holder {
	return active.New(active.Config{Timers: clock.Clock{}, Default: teaseltack.Policy{NonIdempotent: true}})
}

func TestGenerationNeverFalls(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		h := newHolder()
		highest := uint64(0)
		for _, g := range rapid.SliceOf(rapid.Uint64Range(0, 20)).Draw(r, "generations") {
			h.Adopt(&operatorv1.Document{Generation: g})
			highest = max(highest, g)
			if got := h.Document().Generation; got != highest {
				r.Fatalf("generation %d is in force, want %d", got, highest)
			}
		}
	})
}

func TestDefaultPolicyOnlyBeforeTheFirstDocument(t *testing.T) {
	h := newHolder()
	target := teaseltack.Target{Service: "s", Method: "m"}
	policy, ok := h.Policy(target)
	assert.Assert(t, ok)
	assert.Assert(t, policy.NonIdempotent, "the default has to treat calls as non-idempotent")
	h.Adopt(&operatorv1.Document{Generation: 1})
	_, ok = h.Policy(target)
	assert.Assert(t, !ok)
}

func TestFreshnessNeedsTheHighestGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHolder()
		h.Adopt(&operatorv1.Document{Generation: 2})
		h.Confirm(1, 0)
		_, age := h.Generation()
		assert.Assert(t, age > time.Hour, "an older generation must not count as a confirmation")
		h.Confirm(2, time.Second)
		_, age = h.Generation()
		assert.Equal(t, age, time.Second)
	})
}

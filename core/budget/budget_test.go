package budget_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"teaseltack/core/budget"
	"teaseltack/io/clock"
)

// Guards against refused retries just after the calls to a target stop: the
// previous window counts for one more window, and not longer.
func TestTheWindowBeforeCountsAfterCallsCease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := budget.New(budget.Config{Timers: clock.Clock{}, Share: 0.1, Window: 10 * time.Second})
		for range 100 {
			b.RecordCall()
		}
		time.Sleep(11 * time.Second)
		retries := 0
		for b.Spend(1) {
			retries++
		}
		assert.Equal(t, retries, 10)
		time.Sleep(30 * time.Second)
		assert.Assert(t, !b.Spend(1))
	})
}

// Guards against slack that does not come back with the next window.
func TestSlackIsPerWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := budget.New(budget.Config{Timers: clock.Clock{}, Slack: 2, Window: 10 * time.Second})
		for _, allowed := range []bool{true, true, false} {
			assert.Equal(t, b.Spend(1), allowed)
		}
		time.Sleep(11 * time.Second)
		assert.Assert(t, b.Spend(2) && !b.Spend(1))
	})
}

// Guards against bursts of retries across the border of two windows. In any
// span of a window's length, retries stay within the slack plus the share of
// the calls in that span or the one before, whichever has more.
func TestNoWindowHasMoreRetriesThanItsShare(t *testing.T) {
	const share, slack, window, step = 0.2, 3, 10, 500 * time.Millisecond
	rapid.Check(t, func(rt *rapid.T) {
		loads := rapid.SliceOfN(rapid.IntRange(0, 20), 1, 120).Draw(rt, "loads")
		synctest.Test(t, func(t *testing.T) {
			b := budget.New(budget.Config{Timers: clock.Clock{}, Share: share, Slack: slack, Window: window * time.Second})
			calls, spent := make([]int, len(loads)), make([]int, len(loads))
			for i, n := range loads {
				for range n {
					b.RecordCall()
					calls[i]++
					if b.Spend(1) {
						spent[i]++
					}
				}
				time.Sleep(step)
			}
			const span = window * int(time.Second/step)
			sum := func(of []int, from int) int {
				total := 0
				for i := max(from, 0); i < min(from+span, len(of)); i++ {
					total += of[i]
				}
				return total
			}
			for from := range loads {
				// The budget counts in slices that are longer than a step, so the
				// bound allows the calls of one more step.
				bound := share*float64(max(sum(calls, from), sum(calls, from-span), sum(calls, from-span/2))+21) + slack
				if got := float64(sum(spent, from)); got > bound+slack {
					rt.Fatalf("%v retries in the span from %d, allowed are %v", got, from, bound)
				}
			}
		})
	})
}

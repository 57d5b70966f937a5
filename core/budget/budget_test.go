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

func TestTheWindowBeforeCountsAfterCallsCease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := budget.New(budget.Config{Timers: clock.Clock{}, Share: 0.1, Window: 10 * time.Second})
		for range 100 {
			b.Earn()
		}
		time.Sleep(11 * time.Second)
		granted := 0
		for b.Spend(1) {
			granted++
		}
		assert.Equal(t, granted, 10)
		time.Sleep(30 * time.Second)
		assert.Assert(t, !b.Spend(1))
	})
}

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

// TestNoWindowHasMoreRetriesThanItsShare checks the rule over every span of a
// window's length: retries stay within the share of the calls of that span or of
// the one before it, whichever has more, and the slack.
func TestNoWindowHasMoreRetriesThanItsShare(t *testing.T) {
	const share, slack, window, step = 0.2, 3, 10, 500 * time.Millisecond
	rapid.Check(t, func(rt *rapid.T) {
		loads := rapid.SliceOfN(rapid.IntRange(0, 20), 1, 120).Draw(rt, "loads")
		synctest.Test(t, func(t *testing.T) {
			b := budget.New(budget.Config{Timers: clock.Clock{}, Share: share, Slack: slack, Window: window * time.Second})
			calls, spent := make([]int, len(loads)), make([]int, len(loads))
			for i, n := range loads {
				for range n {
					b.Earn()
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
				// The slices of the budget are coarser than these spans by one.
				bound := share*float64(max(sum(calls, from), sum(calls, from-span), sum(calls, from-span/2))+21) + slack
				if got := float64(sum(spent, from)); got > bound+slack {
					rt.Fatalf("%v retries in the span from %d, allowed are %v", got, from, bound)
				}
			}
		})
	})
}

package nested_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack/core/nested"
	"teaseltack/io/clock"
)

// TestWaitsBelowAreSmoothedAndForgotten guards against an average that does not follow
// the queue waits of nested calls, or that still counts long after the last call.
func TestWaitsBelowAreSmoothedAndForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stats := nested.New(nested.Config{Timers: clock.Clock{}})
		for range 200 {
			stats.Observe(100*time.Millisecond, false)
		}
		assert.Assert(t, stats.Wait() > 90*time.Millisecond && stats.Wait() <= 100*time.Millisecond, "%v", stats.Wait())
		assert.Assert(t, !stats.Failing())
		time.Sleep(2 * time.Second)
		assert.Equal(t, stats.Wait(), time.Duration(0))
	})
}

// TestFailuresBelowAreTrouble guards against attributing errors to the local server
// while its nested calls fail, and against an old share of failures that still counts
// long after the last call.
func TestFailuresBelowAreTrouble(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stats := nested.New(nested.Config{Timers: clock.Clock{}})
		for i := range 100 {
			stats.Observe(0, i%5 == 0)
		}
		assert.Assert(t, stats.Failing())
		time.Sleep(2 * time.Second)
		assert.Assert(t, !stats.Failing())
	})
}

package nested_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack/core/nested"
	"teaseltack/io/clock"
)

func TestWaitsBelowAreSmoothedAndForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := nested.New(nested.Config{Timers: clock.Clock{}})
		for range 200 {
			g.Observe(100*time.Millisecond, false)
		}
		assert.Assert(t, g.Wait() > 90*time.Millisecond && g.Wait() <= 100*time.Millisecond, "%v", g.Wait())
		assert.Assert(t, !g.Failing())
		time.Sleep(2 * time.Second)
		assert.Equal(t, g.Wait(), time.Duration(0))
	})
}

func TestFailuresBelowAreTrouble(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := nested.New(nested.Config{Timers: clock.Clock{}})
		for i := range 100 {
			g.Observe(0, i%5 == 0)
		}
		assert.Assert(t, g.Failing())
		time.Sleep(2 * time.Second)
		assert.Assert(t, !g.Failing())
	})
}

package newest_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/core/newest"
	"teaseltack/io/clock"
)

func run(t *testing.T, name string, test func(*testing.T, *newest.Tracker)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { test(t, newest.New(newest.Config{Timers: clock.Clock{}})) })
	})
}

func TestLatenessCountsFromTheFirstSighting(t *testing.T) {
	run(t, "known nowhere else", func(t *testing.T, tracker *newest.Tracker) {
		assert.Equal(t, tracker.InForce(3), time.Duration(0))
		assert.Equal(t, tracker.Known(), teaseltack.Generation(3))
	})
	run(t, "known at another host", func(t *testing.T, tracker *newest.Tracker) {
		tracker.Heard(4, time.Second)
		time.Sleep(2 * time.Second)
		assert.Equal(t, tracker.Behind(), 3*time.Second)
		assert.Equal(t, tracker.InForce(4), 3*time.Second)
		assert.Equal(t, tracker.Behind(), time.Duration(0))
		assert.Equal(t, tracker.Age(), 3*time.Second)
	})
	run(t, "a newer one known", func(t *testing.T, tracker *newest.Tracker) {
		tracker.Heard(4, 0)
		time.Sleep(time.Second)
		tracker.Heard(6, 0)
		assert.Equal(t, tracker.InForce(5), time.Duration(0))
		assert.Equal(t, tracker.Known(), teaseltack.Generation(6))
		time.Sleep(time.Second)
		assert.Equal(t, tracker.InForce(6), time.Second)
	})
	run(t, "an older one heard later", func(t *testing.T, tracker *newest.Tracker) {
		tracker.InForce(4)
		tracker.Heard(3, time.Hour)
		assert.Equal(t, tracker.Behind(), time.Duration(0))
	})
}

func TestSightingsAreBounded(t *testing.T) {
	run(t, "without a configuration", func(t *testing.T, tracker *newest.Tracker) {
		for g := teaseltack.Generation(1); g <= 1000; g++ {
			tracker.Heard(g, 0)
		}
		time.Sleep(time.Second)
		assert.Equal(t, tracker.Known(), teaseltack.Generation(1000))
		assert.Equal(t, tracker.InForce(1000), time.Second)
	})
}

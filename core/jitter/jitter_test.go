package jitter_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack/core/jitter"
	"teaseltack/io/clock"
	"teaseltack/io/random"
)

func newBackoff() *jitter.Backoff {
	return jitter.New(jitter.Config{Timers: clock.Clock{}, Rand: random.Seeded(1), First: 100 * time.Millisecond})
}

func TestPausesGrowToTheLongest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newBackoff()
		for failures, length := range []time.Duration{100, 200, 400, 500, 500, 500} {
			started := time.Now()
			p.Wait(t.Context(), failures, 500*time.Millisecond, nil)
			took := time.Since(started)
			length *= time.Millisecond
			assert.Assert(t, took >= length/2 && took <= length*3/2, "%v after %d failures", took, failures)
		}
	})
}

func TestARestEndsEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		woken := make(chan struct{}, 1)
		woken <- struct{}{}
		newBackoff().Sleep(t.Context(), time.Hour, woken)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		newBackoff().Sleep(ctx, time.Hour, nil)
		assert.Equal(t, time.Since(started), time.Duration(0))
	})
}

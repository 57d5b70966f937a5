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

// Without growth a fleet would overload a server that is down; without a limit a daemon
// would reconnect much too late.
func TestPausesGrowToTheLongest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBackoff()
		for failures, length := range []time.Duration{100, 200, 400, 500, 500, 500} {
			started := time.Now()
			b.Wait(t.Context(), failures, 500*time.Millisecond, nil)
			took := time.Since(started)
			length *= time.Millisecond
			assert.Assert(t, took >= length/2 && took <= length*3/2, "%v after %d failures", took, failures)
		}
	})
}

// A pause that ignored its wake channel or context would delay a reconnect or a shutdown.
func TestARestEndsEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		wake := make(chan struct{}, 1)
		wake <- struct{}{}
		newBackoff().Sleep(t.Context(), time.Hour, wake)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		newBackoff().Sleep(ctx, time.Hour, nil)
		assert.Equal(t, time.Since(started), time.Duration(0))
	})
}

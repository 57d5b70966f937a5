package dedup_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/core/dedup"
	"teaseltack/io/clock"
)

// TestNonceIsNewOnceAndForgottenLater guards against running a call twice that the
// network delivered twice, and against nonces that are kept for good.
func TestNonceIsNewOnceAndForgottenLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		filter := dedup.New(dedup.Config{Timers: clock.Clock{}})
		defer filter.Close()
		deadline := time.Now().Add(time.Second)
		assert.Assert(t, filter.Add("a", deadline))
		assert.Assert(t, !filter.Add("a", deadline))
		time.Sleep(10 * time.Second)
		synctest.Wait()
		assert.Assert(t, filter.Add("a", deadline), "the nonce was not removed after its expiry")
	})
}

func BenchmarkEnter(b *testing.B) {
	filter := dedup.New(dedup.Config{Timers: clock.Clock{}})
	defer filter.Close()
	deadline := time.Now()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		filter.Add(teaseltack.Nonce(fmt.Sprint(i)), deadline)
		i++
	}
}

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

func TestNonceIsNewOnceAndForgottenLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := dedup.New(dedup.Config{Timers: clock.Clock{}})
		defer n.Close()
		deadline := time.Now().Add(time.Second)
		assert.Assert(t, n.Add("a", deadline))
		assert.Assert(t, !n.Add("a", deadline))
		time.Sleep(10 * time.Second)
		synctest.Wait()
		assert.Assert(t, n.Add("a", deadline), "the nonce was never forgotten")
	})
}

func BenchmarkEnter(b *testing.B) {
	n := dedup.New(dedup.Config{Timers: clock.Clock{}})
	defer n.Close()
	deadline := time.Now()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		n.Add(teaseltack.Nonce(fmt.Sprint(i)), deadline)
		i++
	}
}

package usage_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"teaseltack/core/usage"
	"teaseltack/io/clock"
)

const (
	limit    = 100
	reserve  = 20
	small    = 10
	patience = time.Second
	progress = 5
)

func newLimiter() *usage.Limiter {
	return usage.New(usage.Config{Timers: clock.Clock{}, Limit: limit, Reserve: reserve, SmallAmount: small, Patience: patience, MinProgress: progress})
}

// client is a holder that records whether it was evicted.
type client struct {
	*usage.Holder
	evicted bool
}

func enter(l *usage.Limiter) *client {
	c := &client{}
	c.Holder = l.Enter(func() { c.evicted = true })
	return c
}

func inBubble(t *testing.T, name string, test func(*testing.T, *usage.Limiter)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { test(t, newLimiter()) })
	})
}

func TestHoldersShareALimit(t *testing.T) {
	inBubble(t, "the limit", func(t *testing.T, l *usage.Limiter) {
		large, other := enter(l), enter(l)
		assert.NilError(t, large.Take(limit-reserve))
		assert.ErrorIs(t, other.Take(small+1), usage.ErrFull)
		assert.NilError(t, other.Take(small))
		assert.ErrorIs(t, other.Take(1), usage.ErrFull)
		large.Give(1)
		assert.ErrorIs(t, large.Take(2), usage.ErrTooLarge)
		large.Release()
		other.Release()
		assert.Equal(t, l.Held(), int64(0))
	})
	inBubble(t, "what never fits", func(t *testing.T, l *usage.Limiter) {
		assert.ErrorIs(t, enter(l).Take(limit-reserve+1), usage.ErrTooLarge)
	})
	inBubble(t, "small holders keep room beside large ones", func(t *testing.T, l *usage.Limiter) {
		assert.NilError(t, enter(l).Take(limit-reserve))
		for range reserve / small {
			assert.NilError(t, enter(l).Take(small))
		}
		assert.ErrorIs(t, enter(l).Take(1), usage.ErrFull)
	})
	inBubble(t, "what is retained stays held", func(t *testing.T, l *usage.Limiter) {
		c := enter(l)
		assert.NilError(t, c.Take(small))
		c.Retain()
		c.Release()
		assert.Equal(t, l.Held(), int64(small))
		c.Release()
		assert.Equal(t, l.Held(), int64(0))
	})
	t.Run("no limiter", func(t *testing.T) {
		var l *usage.Limiter
		h := l.Enter(nil)
		assert.NilError(t, h.Take(1<<62))
		h.Progress(1)
		h.Complete()
		h.Release()
		assert.Equal(t, l.Held(), int64(0))
	})
}

func TestWhatStallsMakesRoom(t *testing.T) {
	inBubble(t, "only after its patience", func(t *testing.T, l *usage.Limiter) {
		stalled, other := enter(l), enter(l)
		assert.NilError(t, stalled.Take(limit-reserve))
		time.Sleep(patience - 1)
		assert.ErrorIs(t, other.Take(small+1), usage.ErrFull)
		assert.Assert(t, !stalled.evicted)
		time.Sleep(time.Nanosecond)
		assert.NilError(t, other.Take(small+1))
		assert.Assert(t, stalled.evicted)
		assert.Equal(t, l.Held(), int64(small+1))
		assert.ErrorIs(t, stalled.Take(1), usage.ErrFull)
		stalled.Release()
		assert.Equal(t, l.Held(), int64(small+1))
	})
	inBubble(t, "not while it goes on", func(t *testing.T, l *usage.Limiter) {
		steady, slow := enter(l), enter(l)
		assert.NilError(t, steady.Take(limit/2-reserve))
		assert.NilError(t, slow.Take(limit/2))
		for range 3 {
			time.Sleep(patience / 2)
			steady.Progress(progress)
			slow.Progress(1)
		}
		assert.NilError(t, enter(l).Take(small+1))
		assert.Assert(t, slow.evicted && !steady.evicted)
	})
	inBubble(t, "not once it is complete", func(t *testing.T, l *usage.Limiter) {
		complete := enter(l)
		assert.NilError(t, complete.Take(limit-reserve))
		complete.Complete()
		time.Sleep(2 * patience)
		assert.ErrorIs(t, enter(l).Take(small+1), usage.ErrFull)
		complete.Receive()
		time.Sleep(patience)
		assert.NilError(t, enter(l).Take(small+1))
		assert.Assert(t, complete.evicted)
	})
	inBubble(t, "not in vain", func(t *testing.T, l *usage.Limiter) {
		complete, stalled := enter(l), enter(l)
		assert.NilError(t, complete.Take(limit-reserve-small-1))
		complete.Complete()
		assert.NilError(t, stalled.Take(small+1))
		time.Sleep(patience)
		assert.ErrorIs(t, enter(l).Take(2*small+2), usage.ErrFull)
		assert.Assert(t, !stalled.evicted)
	})
	inBubble(t, "the longest one first", func(t *testing.T, l *usage.Limiter) {
		first, second := enter(l), enter(l)
		assert.NilError(t, first.Take(small+1))
		assert.NilError(t, second.Take(limit-reserve-small-1))
		time.Sleep(patience)
		assert.NilError(t, enter(l).Take(small+1))
		assert.Assert(t, first.evicted && !second.evicted)
	})
}

// Guards against amounts that are held and not counted, or counted and never given back.
func TestHeldIsTheSumOfTheHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := fixedTimers{now: time.Unix(0, 0)}
		l := usage.New(usage.Config{Timers: &now, Limit: limit, Reserve: reserve, SmallAmount: small, Patience: patience, MinProgress: progress})
		held := map[*client]int64{}
		var clients []*client
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(*rapid.T) { clients = append(clients, enter(l)) },
			"take": func(t *rapid.T) {
				if len(clients) == 0 {
					return
				}
				c, amount := rapid.SampledFrom(clients).Draw(t, "client"), rapid.Int64Range(0, limit).Draw(t, "amount")
				if c.Take(amount) == nil {
					held[c] += amount
				}
			},
			"progress": func(t *rapid.T) {
				if len(clients) > 0 {
					rapid.SampledFrom(clients).Draw(t, "client").Progress(rapid.Int64Range(0, 2*progress).Draw(t, "received"))
				}
			},
			"complete": func(t *rapid.T) {
				if len(clients) > 0 {
					rapid.SampledFrom(clients).Draw(t, "client").Complete()
				}
			},
			"release": func(t *rapid.T) {
				if len(clients) == 0 {
					return
				}
				i := rapid.IntRange(0, len(clients)-1).Draw(t, "client")
				clients[i].Release()
				delete(held, clients[i])
				clients = append(clients[:i], clients[i+1:]...)
			},
			"wait": func(t *rapid.T) {
				now.now = now.now.Add(time.Duration(rapid.Int64Range(0, int64(patience)).Draw(t, "time")))
			},
			"": func(t *rapid.T) {
				total, large := int64(0), int64(0)
				for c, amount := range held {
					if c.evicted {
						continue
					}
					total += amount
					if amount > small {
						large += amount
					}
				}
				assert.Equal(t, l.Held(), total)
				assert.Assert(t, total <= limit && large <= limit-reserve)
			},
		})
		for _, c := range clients {
			c.Release()
		}
		assert.Equal(t, l.Held(), int64(0))
	})
}

// fixedTimers is a clock that stands still.
type fixedTimers struct {
	clock.Clock
	now time.Time
}

// Now returns the time that was set last.
func (f *fixedTimers) Now() time.Time { return f.now }

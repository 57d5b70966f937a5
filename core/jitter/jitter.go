// Package jitter spreads the attempts of a part that calls what may fail: each
// pause is longer than the one before, drawn at random so that a fleet does not
// call in step, and ends early when the part is woken.
package jitter

import (
	"context"
	"time"

	"teaseltack"
)

// maxDoublings bounds the growth of a pause.
const maxDoublings = 4

// Config sets up a pacer.
type Config struct {
	Timers teaseltack.Timers
	Rand   teaseltack.RandSource
	// First is the length of the first pause before it is drawn.
	First time.Duration
}

// Backoff waits. It is safe for concurrent use.
type Backoff struct {
	cfg Config
}

// New returns a pacer.
func New(cfg Config) *Backoff {
	return &Backoff{cfg: cfg}
}

// Wait waits before the attempt that follows some failures, up to longest; the
// drawn length is between half of that and one and a half.
func (p *Backoff) Wait(ctx context.Context, failures int, longest time.Duration, woken <-chan struct{}) {
	length := min(p.cfg.First<<min(failures, maxDoublings), longest)
	p.Sleep(ctx, length/2+time.Duration(p.cfg.Rand.Uint64()%uint64(length)), woken)
}

// Sleep waits until the length is over, the context ends or the channel wakes it;
// a nil channel never does.
func (p *Backoff) Sleep(ctx context.Context, length time.Duration, woken <-chan struct{}) {
	over := make(chan struct{})
	stop := p.cfg.Timers.After(length, func() { close(over) })
	defer stop()
	select {
	case <-over:
	case <-woken:
	case <-ctx.Done():
	}
}

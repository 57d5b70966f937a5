// Package jitter implements exponential backoff with jitter, so that the daemons of a
// fleet do not retry at the same time.
package jitter

import (
	"context"
	"time"

	"teaseltack"
)

// maxDoublings limits the growth of a pause.
const maxDoublings = 4

// Config configures a Backoff.
type Config struct {
	Timers teaseltack.Timers
	Rand   teaseltack.RandSource
	// First is the length of the first pause before jitter.
	First time.Duration
}

// Backoff pauses between attempts. It is safe for concurrent use.
type Backoff struct {
	cfg Config
}

// New returns a Backoff.
func New(cfg Config) *Backoff {
	return &Backoff{cfg: cfg}
}

// Wait pauses after the given number of failures, like Sleep. The pause doubles with
// each failure, at most maxDoublings times and up to maxPause; then jitter scales it by
// a factor between 0.5 and 1.5, so it may last longer than maxPause.
func (b *Backoff) Wait(ctx context.Context, failures int, maxPause time.Duration, wake <-chan struct{}) {
	length := min(b.cfg.First<<min(failures, maxDoublings), maxPause)
	b.Sleep(ctx, length/2+time.Duration(b.cfg.Rand.Uint64()%uint64(length)), wake)
}

// Sleep pauses for the length, or until the context ends or wake is received from or
// closed. A nil wake never ends the pause early.
func (b *Backoff) Sleep(ctx context.Context, length time.Duration, wake <-chan struct{}) {
	elapsed := make(chan struct{})
	stop := b.cfg.Timers.After(length, func() { close(elapsed) })
	defer stop()
	select {
	case <-elapsed:
	case <-wake:
	case <-ctx.Done():
	}
}

// Package jitter implements exponential backoff with jitter, so that the daemons of
// a fleet do not retry in step. A pause can be ended early.
package jitter

import (
	"context"
	"time"

	"teaseltack"
)

// maxDoublings bounds the growth of a pause.
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

// New returns a backoff.
func New(cfg Config) *Backoff {
	return &Backoff{cfg: cfg}
}

// Wait pauses after the given number of failures. The pause doubles with each one
// up to longest; jitter scales it by a factor between 0.5 and 1.5.
func (p *Backoff) Wait(ctx context.Context, failures int, longest time.Duration, woken <-chan struct{}) {
	length := min(p.cfg.First<<min(failures, maxDoublings), longest)
	p.Sleep(ctx, length/2+time.Duration(p.cfg.Rand.Uint64()%uint64(length)), woken)
}

// Sleep pauses for the length, or until the context ends or woken receives.
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

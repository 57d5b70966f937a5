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
	Source teaseltack.RandSource
	// First is the length of the first pause before it is drawn.
	First time.Duration
}

// Pacer waits. It is safe for concurrent use.
type Pacer struct {
	cfg Config
}

// New returns a pacer.
func New(cfg Config) *Pacer {
	return &Pacer{cfg: cfg}
}

// Pause waits before the attempt that follows some failures, up to longest; the
// drawn length is between half of that and one and a half.
func (p *Pacer) Pause(ctx context.Context, failures int, longest time.Duration, woken <-chan struct{}) {
	length := min(p.cfg.First<<min(failures, maxDoublings), longest)
	p.Rest(ctx, length/2+time.Duration(p.cfg.Source.Uint64()%uint64(length)), woken)
}

// Rest waits until the length is over, the context ends or the channel wakes it;
// a nil channel never does.
func (p *Pacer) Rest(ctx context.Context, length time.Duration, woken <-chan struct{}) {
	over := make(chan struct{})
	stop := p.cfg.Timers.After(length, func() { close(over) })
	defer stop()
	select {
	case <-over:
	case <-woken:
	case <-ctx.Done():
	}
}

// Package newest tracks which generations of the configuration are known to exist, so
// that a daemon can tell how late a configuration has come into force.
package newest

import (
	"sync"
	"time"

	"teaseltack"
)

// maxPending bounds the generations that are remembered while none comes into force.
const maxPending = 64

// Config configures a Tracker.
type Config struct {
	Timers teaseltack.Timers
}

// Tracker holds the known generations. It is safe for concurrent use.
type Tracker struct {
	cfg Config
	mu  sync.Mutex
	// pending holds the known generations that are newer than the one in force, in
	// ascending order.
	pending []sighting
	inForce sighting
}

// sighting is a generation and when it was first known to exist.
type sighting struct {
	generation teaseltack.Generation
	at         time.Time
}

// New returns a tracker that knows no generation.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg}
}

// Heard records that the generation exists, and has existed for the given age.
func (t *Tracker) Heard(generation teaseltack.Generation, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if generation <= t.newestLocked() {
		return
	}
	if len(t.pending) == maxPending {
		t.pending = t.pending[:maxPending-1]
	}
	t.pending = append(t.pending, sighting{generation: generation, at: t.cfg.Timers.Now().Add(-max(age, 0))})
}

func (t *Tracker) newestLocked() teaseltack.Generation {
	if len(t.pending) > 0 {
		return t.pending[len(t.pending)-1].generation
	}
	return t.inForce.generation
}

// InForce records that the generation has come into force, and returns the time since it,
// or a newer one, was first known.
func (t *Tracker) InForce(generation teaseltack.Generation) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Timers.Now()
	for len(t.pending) > 0 && t.pending[0].generation < generation {
		t.pending = t.pending[1:]
	}
	t.inForce = sighting{generation: generation, at: now}
	if len(t.pending) > 0 {
		t.inForce.at = t.pending[0].at
	}
	if len(t.pending) > 0 && t.pending[0].generation == generation {
		t.pending = t.pending[1:]
	}
	return now.Sub(t.inForce.at)
}

// Known returns the newest generation that is known, in force or not.
func (t *Tracker) Known() teaseltack.Generation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newestLocked()
}

// Age returns the time since the generation in force was first known, 0 if there is none.
func (t *Tracker) Age() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inForce.at.IsZero() {
		return 0
	}
	return t.cfg.Timers.Now().Sub(t.inForce.at)
}

// Behind returns for how long a generation has been known that is newer than the one in
// force, 0 if there is none.
func (t *Tracker) Behind() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pending) == 0 {
		return 0
	}
	return t.cfg.Timers.Now().Sub(t.pending[0].at)
}

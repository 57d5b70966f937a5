// Package nested keeps statistics of the calls that the local backend server makes,
// for the case that their parent call is not known: how long they wait in queues
// and how many of them fail.
package nested

import (
	"sync"
	"time"

	"teaseltack"
)

const (
	// smoothing is the weight of one call.
	smoothing = 0.05
	// forgotten is the time without a call after which nothing is known.
	forgotten = time.Second
	// troubledShare is the share of failed calls from which a failure of the
	// server is put down to the calls below it.
	troubledShare = 0.05
)

// Config configures Stats.
type Config struct {
	Timers teaseltack.Timers
}

// Stats holds moving averages over the nested calls. It is safe for concurrent use.
type Stats struct {
	timers teaseltack.Timers
	mu     sync.Mutex
	wait   time.Duration
	failed float64
	at     time.Time
}

// New returns empty statistics.
func New(cfg Config) *Stats {
	return &Stats{timers: cfg.Timers}
}

// Observe records the queue wait of a nested call and whether it failed.
func (g *Stats) Observe(waited time.Duration, failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.timers.Now()
	if now.Sub(g.at) > forgotten {
		g.wait, g.failed = 0, 0
	}
	g.at = now
	g.wait += time.Duration(smoothing * float64(waited-g.wait))
	share := 0.0
	if failed {
		share = 1
	}
	g.failed += smoothing * (share - g.failed)
}

// Wait returns the average queue wait of the nested calls.
func (g *Stats) Wait() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timers.Now().Sub(g.at) > forgotten {
		return 0
	}
	return g.wait
}

// Failing reports whether nested calls fail.
func (g *Stats) Failing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failed > troubledShare && g.timers.Now().Sub(g.at) <= forgotten
}

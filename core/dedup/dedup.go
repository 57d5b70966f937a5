// Package dedup records the nonces of received calls, so that a call that the network
// delivers twice runs only once.
package dedup

import (
	"sync"
	"time"

	"teaseltack"
)

const (
	// retention is how long a nonce is kept after its call's deadline.
	retention = 5 * time.Second
	// sweepPeriod is the period of the removal of expired nonces.
	sweepPeriod = time.Second
)

// Config configures a Filter.
type Config struct {
	Timers teaseltack.Timers
}

// Filter detects repeated nonces. It is safe for concurrent use.
type Filter struct {
	timers   teaseltack.Timers
	mu       sync.Mutex
	expiries map[teaseltack.Nonce]time.Time
	stop     func()
}

// New returns an empty filter that uses a periodic timer until Close.
func New(cfg Config) *Filter {
	f := &Filter{timers: cfg.Timers, expiries: map[teaseltack.Nonce]time.Time{}}
	f.stop = cfg.Timers.Every(sweepPeriod, f.sweep)
	return f
}

// Close stops the periodic timer.
func (f *Filter) Close() {
	f.stop()
}

// Add records the nonce of a call and reports whether it is new.
func (f *Filter) Add(nonce teaseltack.Nonce, deadline time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.expiries[nonce]; known {
		return false
	}
	f.expiries[nonce] = deadline.Add(retention)
	return true
}

func (f *Filter) sweep() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timers.Now()
	for nonce, expiry := range f.expiries {
		if now.After(expiry) {
			delete(f.expiries, nonce)
		}
	}
}

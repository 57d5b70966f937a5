// Package dedup remembers the nonces of received calls, so that a call that the
// network delivers twice runs only once.
package dedup

import (
	"sync"
	"time"

	"teaseltack"
)

const (
	// memory is how long a nonce is remembered after its call's deadline.
	memory = 5 * time.Second
	// sweepPeriod is the period of forgetting.
	sweepPeriod = time.Second
)

// Config configures a Filter.
type Config struct {
	Timers teaseltack.Timers
}

// Filter remembers nonces. It is safe for concurrent use.
type Filter struct {
	timers teaseltack.Timers
	mu     sync.Mutex
	until  map[teaseltack.Nonce]time.Time
	stop   func()
}

// New returns an empty filter that subscribes to the timers until Close.
func New(cfg Config) *Filter {
	n := &Filter{timers: cfg.Timers, until: map[teaseltack.Nonce]time.Time{}}
	n.stop = cfg.Timers.Every(sweepPeriod, n.sweep)
	return n
}

// Close ends the subscription to the timers.
func (n *Filter) Close() {
	n.stop()
}

// Add remembers the nonce of a call and reports whether it is new.
func (n *Filter) Add(nonce teaseltack.Nonce, deadline time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, known := n.until[nonce]; known {
		return false
	}
	n.until[nonce] = deadline.Add(memory)
	return true
}

func (n *Filter) sweep() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.timers.Now()
	for nonce, until := range n.until {
		if now.After(until) {
			delete(n.until, nonce)
		}
	}
}

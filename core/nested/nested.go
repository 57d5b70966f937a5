// Package nested keeps statistics of the calls that the local backend server makes:
// how long they wait in queues and how many of them fail. They are used where the
// parent of a nested call is not known.
package nested

import (
	"sync"
	"time"

	"teaseltack"
)

const (
	// smoothing is the weight of one call in the averages.
	smoothing = 0.05
	// maxAge is the time without a call after which the averages no longer count.
	maxAge = time.Second
	// failingShare is the share of failed nested calls above which a failure of the
	// server is attributed to its nested calls.
	failingShare = 0.05
)

// Config configures Stats.
type Config struct {
	Timers teaseltack.Timers
}

// Stats holds moving averages over the nested calls. It is safe for concurrent use.
type Stats struct {
	timers      teaseltack.Timers
	mu          sync.Mutex
	wait        time.Duration
	failedShare float64
	lastCall    time.Time
}

// New returns empty statistics.
func New(cfg Config) *Stats {
	return &Stats{timers: cfg.Timers}
}

// Observe records the queue wait of a nested call and whether it failed.
func (s *Stats) Observe(waited time.Duration, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timers.Now()
	if now.Sub(s.lastCall) > maxAge {
		s.wait, s.failedShare = 0, 0
	}
	s.lastCall = now
	s.wait += time.Duration(smoothing * float64(waited-s.wait))
	failure := 0.0
	if failed {
		failure = 1
	}
	s.failedShare += smoothing * (failure - s.failedShare)
}

// Wait returns the average queue wait of the nested calls.
func (s *Stats) Wait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timers.Now().Sub(s.lastCall) > maxAge {
		return 0
	}
	return s.wait
}

// Failing reports whether so many nested calls fail that a failure of the server is
// attributed to them.
func (s *Stats) Failing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failedShare > failingShare && s.timers.Now().Sub(s.lastCall) <= maxAge
}

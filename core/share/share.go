// Package share bounds how much of a server's limit one method may use, by the
// time that its nested calls wait in queues below. A method whose calls wait
// below would hold slots of this server without getting on; with a smaller share
// it waits here, in order of importance, and other methods use the slots.
package share

import "time"

const (
	// gain is what a call without any wait below adds to a full share, which
	// grows by this multiple in the time of one call.
	gain = 2
	// mostShrink bounds what a call with a long wait takes, as a part of gain.
	mostShrink = 0.1
	// smoothing is the weight of one call in the mean wait.
	smoothing = 0.1
	// leastDivisor gives the smallest share, as a part of the limit.
	leastDivisor = 16
)

// Share is one method's part of a limit. It is not safe for concurrent use.
type Share struct {
	target  time.Duration
	below   time.Duration
	current float64
	running int
}

// New returns a share that is not bounded yet. Waits below above target shrink
// it.
func New(target time.Duration) *Share {
	return &Share{target: target}
}

// HasRoom reports whether one more call fits the share of the limit.
func (s *Share) HasRoom(limit int) bool {
	return s.running < s.Current(limit)
}

// Current returns the calls that may run at once.
func (s *Share) Current(limit int) int {
	if s.current == 0 {
		return limit
	}
	return min(int(s.current), limit)
}

// Begin counts a call that was admitted.
func (s *Share) Begin() {
	s.running++
}

// Running returns the calls that run.
func (s *Share) Running() int {
	return s.running
}

// End counts a call that ended after its nested calls waited below.
func (s *Share) End(below time.Duration, limit int) {
	full := s.running >= s.Current(limit)
	s.running--
	s.below += time.Duration(smoothing * float64(below-s.below))
	if s.current == 0 {
		s.current = float64(limit)
	}
	slack := max(1-float64(s.below)/float64(s.target), -mostShrink)
	if slack > 0 && !full {
		return
	}
	least := max(1, float64(limit)/leastDivisor)
	s.current = min(max(s.current+gain*slack, least), float64(limit))
}

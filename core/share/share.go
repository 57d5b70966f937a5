// Package share bounds the part of a server's limit that one method may use, by the
// time that the method's nested calls wait in queues. A method whose nested calls
// wait would occupy slots of this server without progress. With a smaller share its
// calls wait here, in order of priority, and other methods use the slots.
package share

import "time"

const (
	// gain is the number of calls by which a call without nested waits raises a
	// fully used share. The share thus grows by gain times its size within the
	// duration of one call.
	gain = 2
	// maxShrink bounds the decrease by a call with long nested waits, as a part of
	// gain.
	maxShrink = 0.1
	// smoothing is the weight of one call in the mean nested wait.
	smoothing = 0.1
	// minShareDivisor sets the smallest share as limit / minShareDivisor.
	minShareDivisor = 16
)

// Share is one method's part of a limit. It is not safe for concurrent use.
type Share struct {
	target     time.Duration
	nestedWait time.Duration
	current    float64
	running    int
}

// New returns a share that equals the whole limit at first. A mean nested wait above
// target shrinks it.
func New(target time.Duration) *Share {
	return &Share{target: target}
}

// HasRoom reports whether one more call fits into the method's share of the limit.
func (s *Share) HasRoom(limit int) bool {
	return s.running < s.Current(limit)
}

// Current returns the number of the method's calls that may run at once.
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

// Running returns the number of the method's calls that run.
func (s *Share) Running() int {
	return s.running
}

// End records the end of a call whose nested calls waited in queues for nestedWait,
// and adjusts the share.
func (s *Share) End(nestedWait time.Duration, limit int) {
	full := s.running >= s.Current(limit)
	s.running--
	s.nestedWait += time.Duration(smoothing * float64(nestedWait-s.nestedWait))
	if s.current == 0 {
		s.current = float64(limit)
	}
	slack := max(1-float64(s.nestedWait)/float64(s.target), -maxShrink)
	if slack > 0 && !full {
		return
	}
	minShare := max(1, float64(limit)/minShareDivisor)
	s.current = min(max(s.current+gain*slack, minShare), float64(limit))
}

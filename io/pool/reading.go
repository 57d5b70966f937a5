package pool

import (
	"sync/atomic"

	"teaseltack"
)

// freeAnswerBytes is the size in bytes up to which an answer is read whatever the other
// answers hold, so that answers of usual size never wait for or fail beside large ones.
const freeAnswerBytes = 64 << 10

// reading counts the bytes that the answers being read hold beyond freeAnswerBytes each.
// It is safe for concurrent use.
type reading struct {
	limit int64
	held  atomic.Int64
}

// share is what one answer holds of the reading limit.
type share struct {
	reading *reading
	size    int64
	held    int64
}

// grow counts size more bytes of the answer. It refuses them if the answers being read
// would exceed the limit together.
func (s *share) grow(size int64) error {
	s.size += size
	more := max(s.size-freeAnswerBytes, 0) - s.held
	if more <= 0 {
		return nil
	}
	if held := s.reading.held.Add(more); held > s.reading.limit {
		s.reading.held.Add(-more)
		return teaseltack.Uncertain(teaseltack.ReasonTooLarge, "the answers being read would hold %d bytes, allowed are %d", held, s.reading.limit)
	}
	s.held += more
	return nil
}

// release returns what the answer holds.
func (s *share) release() {
	s.reading.held.Add(-s.held)
	s.size, s.held = 0, 0
}

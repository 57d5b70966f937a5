// Package sink writes log lines without ever delaying who logs: lines queue for
// one writer, and those that find the queue full are counted and dropped.
package sink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// Config configures a sink.
type Config struct {
	Out io.Writer
	// MaxBytes bounds the queue.
	MaxBytes int
}

// Sink queues lines. It is safe for concurrent use.
type Sink struct {
	cfg     Config
	mu      sync.Mutex
	queue   bytes.Buffer
	dropped uint64
	wake    chan struct{}
	closed  bool
	done    chan struct{}
}

// New returns a sink that writes until Close.
func New(cfg Config) *Sink {
	s := &Sink{cfg: cfg, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a line. It never fails and never waits for the output.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if s.closed || s.queue.Len()+len(line) > s.cfg.MaxBytes {
		s.dropped++
		s.mu.Unlock()
		return len(line), nil
	}
	s.queue.Write(line)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// gatherTime is how long lines are gathered for one write.
const gatherTime = 20 * time.Millisecond

func (s *Sink) run() {
	defer close(s.done)
	var batch []byte
	var told uint64
	for range s.wake {
		time.Sleep(gatherTime)
		s.mu.Lock()
		batch = append(batch[:0], s.queue.Bytes()...)
		s.queue.Reset()
		dropped, closed := s.dropped, s.closed
		s.mu.Unlock()
		if dropped > told {
			batch = fmt.Appendf(batch, "log lines dropped: since-start=%d\n", dropped)
			told = dropped
		}
		_, _ = s.cfg.Out.Write(batch)
		if closed {
			return
		}
	}
}

// Close writes what is queued, as long as the output takes it within the time.
func (s *Sink) Close(wait time.Duration) {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	select {
	case <-s.done:
	case <-time.After(wait):
	}
}

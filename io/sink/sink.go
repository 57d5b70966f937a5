// Package sink writes log lines without blocking the goroutines that log: a single
// writer empties a bounded queue, and lines beyond the bound are dropped and counted.
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
	// MaxBytes bounds the queued bytes.
	MaxBytes int
}

// Sink queues lines for one writer. It is safe for concurrent use.
type Sink struct {
	cfg     Config
	mu      sync.Mutex
	queue   bytes.Buffer
	dropped uint64
	wake    chan struct{}
	closed  bool
	done    chan struct{}
}

// New returns a sink and starts its writer, which runs until Close.
func New(cfg Config) *Sink {
	s := &Sink{cfg: cfg, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues or drops a line. It never fails and never waits for the output.
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

// batchDelay is how long lines are collected for one write.
const batchDelay = 20 * time.Millisecond

func (s *Sink) run() {
	defer close(s.done)
	var batch []byte
	var reported uint64
	for range s.wake {
		time.Sleep(batchDelay)
		s.mu.Lock()
		batch = append(batch[:0], s.queue.Bytes()...)
		s.queue.Reset()
		dropped, closed := s.dropped, s.closed
		s.mu.Unlock()
		if dropped > reported {
			batch = fmt.Appendf(batch, "log lines dropped: since-start=%d\n", dropped)
			reported = dropped
		}
		_, _ = s.cfg.Out.Write(batch)
		if closed {
			return
		}
	}
}

// Close writes the queued lines. It returns after wait if the output blocks longer.
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

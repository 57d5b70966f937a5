// Package fakekv is a stand-in of the platform's key-value service for demos and
// tests. It can inject outages, slow answers, and answers that are lost after a
// write took effect.
package fakekv

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"

	"teaseltack"
	platformv1 "teaseltack/gen/teaseltack/platform/v1"
	"teaseltack/gen/teaseltack/platform/v1/platformv1connect"
)

const (
	maxValueBytes = 1 << 20
	maxWatchTime  = 30 * time.Second
)

// Config configures a Store.
type Config struct {
	Timers teaseltack.Timers
}

// faults is the set of injected faults.
type faults struct {
	down        bool
	delay       time.Duration
	loseAnswers int
}

type value struct {
	data     []byte
	revision uint64
	expires  time.Time
}

// Store holds the keys in memory. It is safe for concurrent use.
type Store struct {
	timers       teaseltack.Timers
	mu           sync.Mutex
	values       map[string]value
	faults       faults
	lastRevision uint64
	changed      chan struct{}
	calls        map[string]int
}

var _ platformv1connect.KeyValueServiceHandler = (*Store)(nil)

// New returns an empty store.
func New(cfg Config) *Store {
	return &Store{timers: cfg.Timers, values: map[string]value{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// SetDown starts or ends an outage.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = down
	s.notifyWatches()
}

// SetDelay delays every call by the given time.
func (s *Store) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = delay
}

// LoseAnswers makes the next count successful writes take effect but return an
// error.
func (s *Store) LoseAnswers(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseAnswers = count
}

// Calls returns the number of calls so far by kind: get, swap and watch.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.calls))
	for kind, n := range s.calls {
		counts[kind] = n
	}
	return counts
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

var errDown = errors.New("the stand-in platform is in a simulated outage")

// beginCall counts a call and applies the outage and the delay.
func (s *Store) beginCall(ctx context.Context, kind string) error {
	s.mu.Lock()
	s.calls[kind]++
	f := s.faults
	s.mu.Unlock()
	if f.down {
		return connect.NewError(connect.CodeUnavailable, errDown)
	}
	if f.delay == 0 {
		return nil
	}
	done := make(chan struct{})
	stop := s.timers.After(f.delay, func() { close(done) })
	defer stop()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Store) read(key string) value {
	v, ok := s.values[key]
	if ok && !v.expires.IsZero() && !s.timers.Now().Before(v.expires) {
		delete(s.values, key)
		return value{}
	}
	return v
}

// Get reads one key.
func (s *Store) Get(ctx context.Context, request *connect.Request[platformv1.GetRequest]) (*connect.Response[platformv1.GetResponse], error) {
	if err := s.beginCall(ctx, "get"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.read(request.Msg.Key)
	return connect.NewResponse(&platformv1.GetResponse{Found: v.revision > 0, Value: v.data, Revision: v.revision}), nil
}

// Swap writes a key if its revision is the expected one.
func (s *Store) Swap(ctx context.Context, request *connect.Request[platformv1.SwapRequest]) (*connect.Response[platformv1.SwapResponse], error) {
	m := request.Msg
	if len(m.Value) > maxValueBytes {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("value has %d bytes, allowed are at most %d", len(m.Value), maxValueBytes))
	}
	if err := s.beginCall(ctx, "swap"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.read(m.Key)
	if current.revision != m.ExpectedRevision {
		return connect.NewResponse(&platformv1.SwapResponse{Revision: current.revision, Value: current.data}), nil
	}
	s.lastRevision++
	next := value{data: bytes.Clone(m.Value), revision: s.lastRevision}
	if m.LeaseMs > 0 {
		next.expires = s.timers.Now().Add(time.Duration(m.LeaseMs) * time.Millisecond)
	}
	s.values[m.Key] = next
	s.notifyWatches()
	if s.faults.loseAnswers > 0 {
		s.faults.loseAnswers--
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("the answer was lost after the write took effect"))
	}
	return connect.NewResponse(&platformv1.SwapResponse{Swapped: true, Revision: next.revision, Value: next.data}), nil
}

// Watch waits until the key's revision differs from the known one or the wait
// ends. An outage ends it with an error.
func (s *Store) Watch(ctx context.Context, request *connect.Request[platformv1.WatchRequest]) (*connect.Response[platformv1.WatchResponse], error) {
	if err := s.beginCall(ctx, "watch"); err != nil {
		return nil, err
	}
	m := request.Msg
	expired := make(chan struct{})
	wait := min(time.Duration(m.WaitMs)*time.Millisecond, maxWatchTime)
	stop := s.timers.After(wait, func() { close(expired) })
	defer stop()
	for {
		s.mu.Lock()
		v, changed, down := s.read(m.Key), s.changed, s.faults.down
		s.mu.Unlock()
		if down {
			return nil, connect.NewError(connect.CodeUnavailable, errDown)
		}
		if v.revision != m.KnownRevision {
			return connect.NewResponse(&platformv1.WatchResponse{Changed: true, Value: v.data, Revision: v.revision}), nil
		}
		select {
		case <-changed:
		case <-expired:
			return connect.NewResponse(&platformv1.WatchResponse{Revision: m.KnownRevision}), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

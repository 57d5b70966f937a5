package bench

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"teaseltack"
)

// serverModel models one backend server: its slots, connections, service time,
// slowdown, crash and cold start.
type serverModel struct {
	record      teaseltack.Record
	work        time.Duration
	connections int64
	slots       chan struct{}
	openCalls   atomic.Int64
	slowdown    atomic.Int64
	crashed     atomic.Bool
	coldUntil   atomic.Int64
	source      teaseltack.RandSource
	counters    *counters
	// callNested calls the next service of the path and returns the status. It runs
	// on the goroutine of the call that makes it, which holds its slot meanwhile.
	callNested func(ctx context.Context, call *teaseltack.Call, token string) int
}

// coldFactor multiplies the service times of a cold server.
const coldFactor = 5

func newServerModel(record teaseltack.Record, size serviceSize, workFactor float64, source teaseltack.RandSource, c *counters) *serverModel {
	s := &serverModel{
		record:      record,
		work:        time.Duration(float64(size.work) * workFactor),
		connections: int64(size.connections / slotScale),
		slots:       make(chan struct{}, size.slots/slotScale),
		source:      source,
		counters:    c,
	}
	s.slowdown.Store(1)
	return s
}

var _ teaseltack.ServerClient = (*serverModel)(nil)

// Dispatch implements teaseltack.ServerClient.
func (s *serverModel) Dispatch(ctx context.Context, call *teaseltack.Call, token string) (*teaseltack.Answer, error) {
	if s.crashed.Load() {
		return nil, teaseltack.Refuse(teaseltack.ReasonServer, "connection refused")
	}
	defer s.openCalls.Add(-1)
	if s.openCalls.Add(1) > s.connections {
		return &teaseltack.Answer{Status: http.StatusServiceUnavailable}, nil
	}
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, teaseltack.Uncertain(teaseltack.ReasonLifetime, "no free slot before the deadline")
	}
	defer func() { <-s.slots }()
	started := time.Now()
	status := s.execute(ctx, call, token)
	s.counters.addWork(call.ID, time.Since(started))
	if ctx.Err() != nil {
		return nil, teaseltack.Uncertain(teaseltack.ReasonLifetime, "context ended")
	}
	if s.crashed.Load() {
		return nil, teaseltack.Uncertain(teaseltack.ReasonAnswerCut, "the backend server crashed")
	}
	return &teaseltack.Answer{Status: status}, nil
}

func (s *serverModel) execute(ctx context.Context, call *teaseltack.Call, token string) int {
	s.counters.countRun(call)
	if !sleep(ctx, s.serviceTime()) {
		return http.StatusGatewayTimeout
	}
	return s.callNested(ctx, call, token)
}

// serviceTime draws a service time uniformly between half and one and a half times the
// mean, and multiplies it by the slowdown and, after a cold start, by coldFactor.
func (s *serverModel) serviceTime() time.Duration {
	const steps = 1024
	duration := s.work/2 + s.work*time.Duration(s.source.Uint64()%steps)/steps
	duration *= time.Duration(s.slowdown.Load())
	if time.Now().UnixNano() < s.coldUntil.Load() {
		duration *= coldFactor
	}
	return duration
}

func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// counters holds the work and the runs of each request and the number of retries.
type counters struct {
	mu      sync.Mutex
	work    map[teaseltack.RequestID]time.Duration
	runs    map[teaseltack.RequestID]int
	retries atomic.Int64
}

func newCounters() *counters {
	return &counters{work: map[teaseltack.RequestID]time.Duration{}, runs: map[teaseltack.RequestID]int{}}
}

func (c *counters) addWork(id teaseltack.RequestID, duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.work[id] += duration
}

// countRun counts the runs of non-idempotent root calls.
func (c *counters) countRun(call *teaseltack.Call) {
	if !call.NonIdempotent || call.Priority.Nested {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[call.ID]++
}

// ranTwice returns the number of non-idempotent requests that ran more than once.
func (c *counters) ranTwice() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, n := range c.runs {
		if n > 1 {
			count++
		}
	}
	return count
}

// Answered implements entry.Observer.
func (c *counters) Answered(teaseltack.Target, teaseltack.Class, *teaseltack.Answer) {}

// Retried implements entry.Observer.
func (c *counters) Retried(teaseltack.Target) {
	c.retries.Add(1)
}

package bench

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"teaseltack"
)

// station is a model of one backend server: slots, connections, service time,
// slowness, crash and cold start. It calls the next service of the path itself.
type station struct {
	record      teaseltack.Record
	work        time.Duration
	connections int64
	slots       chan struct{}
	open        atomic.Int64
	slow        atomic.Int64
	crashed     atomic.Bool
	coldUntil   atomic.Int64
	source      teaseltack.RandSource
	ledger      *ledger
	// below calls the next service on behalf of a running call.
	below func(ctx context.Context, call *teaseltack.Call, token string) int
}

// coldFactor is how much longer a call takes on a cold server.
const coldFactor = 5

func newStation(record teaseltack.Record, size serviceSize, speed float64, source teaseltack.RandSource, l *ledger) *station {
	st := &station{
		record:      record,
		work:        time.Duration(float64(size.work) * speed),
		connections: int64(size.connections / slotScale),
		slots:       make(chan struct{}, size.slots/slotScale),
		source:      source,
		ledger:      l,
	}
	st.slow.Store(1)
	return st
}

var _ teaseltack.Server = (*station)(nil)

// Dispatch runs a call as a backend server would.
func (st *station) Dispatch(ctx context.Context, call *teaseltack.Call, token string) (*teaseltack.Answer, error) {
	if st.crashed.Load() {
		return nil, teaseltack.Refuse(teaseltack.ReasonServer, "connection refused")
	}
	defer st.open.Add(-1)
	if st.open.Add(1) > st.connections {
		return &teaseltack.Answer{Status: http.StatusServiceUnavailable}, nil
	}
	select {
	case st.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, teaseltack.Uncertain(teaseltack.ReasonLifetime, "no slot in time")
	}
	defer func() { <-st.slots }()
	started := time.Now()
	status := st.perform(ctx, call, token)
	st.ledger.worked(call.ID, time.Since(started))
	if ctx.Err() != nil {
		return nil, teaseltack.Uncertain(teaseltack.ReasonLifetime, "given up")
	}
	if st.crashed.Load() {
		return nil, teaseltack.Uncertain(teaseltack.ReasonAnswerCut, "the server crashed")
	}
	return &teaseltack.Answer{Status: status}, nil
}

func (st *station) perform(ctx context.Context, call *teaseltack.Call, token string) int {
	st.ledger.ran(call)
	if !pause(ctx, st.serviceTime()) {
		return http.StatusGatewayTimeout
	}
	return st.below(ctx, call, token)
}

// serviceTime spreads evenly by half around the mean.
func (st *station) serviceTime() time.Duration {
	const steps = 1024
	length := st.work/2 + st.work*time.Duration(st.source.Uint64()%steps)/steps
	length *= time.Duration(st.slow.Load())
	if time.Now().UnixNano() < st.coldUntil.Load() {
		length *= coldFactor
	}
	return length
}

func pause(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// ledger counts the work, the runs and the retries of all requests.
type ledger struct {
	mu      sync.Mutex
	work    map[teaseltack.RequestID]time.Duration
	once    map[teaseltack.RequestID]int
	retries atomic.Int64
}

func newLedger() *ledger {
	return &ledger{work: map[teaseltack.RequestID]time.Duration{}, once: map[teaseltack.RequestID]int{}}
}

func (l *ledger) worked(id teaseltack.RequestID, length time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.work[id] += length
}

// ran counts the runs of non-idempotent root calls.
func (l *ledger) ran(call *teaseltack.Call) {
	if !call.NonIdempotent || call.Priority.Nested {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.once[call.ID]++
}

// doubled counts the non-idempotent requests that ran more than once.
func (l *ledger) doubled() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, n := range l.once {
		if n > 1 {
			count++
		}
	}
	return count
}

// Answered implements entry.Observer.
func (l *ledger) Answered(teaseltack.Target, teaseltack.Class, *teaseltack.Answer) {}

// Retried implements entry.Observer.
func (l *ledger) Retried(teaseltack.Target) {
	l.retries.Add(1)
}

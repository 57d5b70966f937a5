// Package reqlog logs the decisions about requests in a bounded volume: each step
// has a limit of lines per second, the highest for requests that were refused or
// failed, and the lines dropped beyond it are counted.
package reqlog

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"teaseltack"
)

// The limits of log lines per second and daemon, per step. At 1,000 requests per
// second they keep the log below a twentieth of the requests' processor time.
const (
	answeredPerSecond = 20
	movedPerSecond    = 40
	refusedPerSecond  = 100
	failedPerSecond   = 200
)

// Config configures a Logger.
type Config struct {
	Timers teaseltack.Timers
	Log    hclog.Logger
	// Generation returns the generation of the configuration in force; it may be nil.
	Generation func() teaseltack.Generation
	// OnDrop is called under the logger's lock for each dropped line, with its step;
	// it may be nil.
	OnDrop func(step teaseltack.Step)
}

// Logger logs decisions. It is safe for concurrent use.
type Logger struct {
	cfg         Config
	mu          sync.Mutex
	windowStart time.Time
	written     map[teaseltack.Step]int
	dropped     map[teaseltack.Step]int
}

var _ teaseltack.DecisionRecorder = (*Logger)(nil)

// New returns a logger.
func New(cfg Config) *Logger {
	return &Logger{cfg: cfg, written: map[teaseltack.Step]int{}, dropped: map[teaseltack.Step]int{}}
}

func limitOf(step teaseltack.Step) int {
	switch step {
	case teaseltack.StepFailed, teaseltack.StepBroke:
		return failedPerSecond
	case teaseltack.StepRefused, teaseltack.StepLate:
		return refusedPerSecond
	case teaseltack.StepMoved, teaseltack.StepRetried:
		return movedPerSecond
	}
	return answeredPerSecond
}

// RecordDecision logs a decision unless the limit of its step is reached.
func (l *Logger) RecordDecision(d *teaseltack.Decision) {
	if !l.allowed(d.Step) {
		return
	}
	l.cfg.Log.Info(string(d.Step), "id", d.ID, "part", d.Part, "at", d.At, "target", d.Target, "home", d.Home, "status", d.Status,
		"verdict", d.Verdict, "reason", d.Reason, "detail", d.Detail, "attempt", d.HomesTried,
		"left-ms", d.Remaining.Milliseconds(), "took-ms", d.Elapsed.Milliseconds(), "work-ms", d.Work.Milliseconds(),
		"waited-ms", d.Waited.Milliseconds(), "in-flight", d.Load.InFlight, "limit", d.Load.Limit,
		"level", d.Load.Level, "level-below", d.Load.NestedLevel, "class", d.Class, "nested", d.Nested, "generation", l.generation(), "routed-by", d.Generation)
}

// stepMalformed counts the lines of requests that were refused before they were handled.
const stepMalformed teaseltack.Step = "malformed"

// RecordMalformed logs a request that was refused before it was handled, unless the limit
// of such lines is reached.
func (l *Logger) RecordMalformed(err error) {
	if l.allowed(stepMalformed) {
		l.cfg.Log.Warn("malformed request refused", "error", err)
	}
}

func (l *Logger) generation() teaseltack.Generation {
	if l.cfg.Generation == nil {
		return 0
	}
	return l.cfg.Generation()
}

func (l *Logger) allowed(step teaseltack.Step) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Timers.Now()
	if now.Sub(l.windowStart) >= time.Second {
		l.logDropped()
		l.windowStart = now
		clear(l.written)
	}
	if l.written[step] < limitOf(step) {
		l.written[step]++
		return true
	}
	l.dropped[step]++
	if l.cfg.OnDrop != nil {
		l.cfg.OnDrop(step)
	}
	return false
}

// logDropped logs how many lines of each step were dropped since its last call.
func (l *Logger) logDropped() {
	for step, count := range l.dropped {
		l.cfg.Log.Info("lines left out", "step", step, "count", count)
	}
	clear(l.dropped)
}

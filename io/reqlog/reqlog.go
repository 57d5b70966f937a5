// Package reqlog logs the decisions that touch requests, in a bounded volume:
// each kind of line has an allowance a second, the largest for requests that were
// refused or failed, and what is left out is counted.
package reqlog

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"teaseltack"
)

// The lines a second that one daemon writes of each kind. At 1,000 requests a
// second they keep logging under a twentieth of the path's processor time.
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
	// Generation returns the configuration in force; it may be nil.
	Generation func() teaseltack.Generation
	// OnDrop is called for each line that was dropped, with its step; it may be nil.
	OnDrop func(step teaseltack.Step)
}

// Logger logs decisions. It is safe for concurrent use.
type Logger struct {
	cfg    Config
	mu     sync.Mutex
	second time.Time
	used   map[teaseltack.Step]int
	left   map[teaseltack.Step]int
}

var _ teaseltack.DecisionRecorder = (*Logger)(nil)

// New returns a logger.
func New(cfg Config) *Logger {
	return &Logger{cfg: cfg, used: map[teaseltack.Step]int{}, left: map[teaseltack.Step]int{}}
}

func allowance(step teaseltack.Step) int {
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

// RecordDecision logs a decision unless its allowance of this second is used up.
func (t *Logger) RecordDecision(d *teaseltack.Decision) {
	if !t.allowed(d.Step) {
		return
	}
	t.cfg.Log.Info(string(d.Step), "id", d.ID, "part", d.Part, "at", d.At, "target", d.Target, "home", d.Home, "status", d.Status,
		"verdict", d.Verdict, "reason", d.Reason, "detail", d.Detail, "attempt", d.Attempt,
		"left-ms", d.Remaining.Milliseconds(), "took-ms", d.Elapsed.Milliseconds(), "work-ms", d.Work.Milliseconds(),
		"waited-ms", d.Waited.Milliseconds(), "in-flight", d.Load.InFlight, "limit", d.Load.Limit,
		"level", d.Load.Level, "level-below", d.Load.NestedLevel, "class", d.Class, "nested", d.Nested, "generation", t.generation())
}

func (t *Logger) generation() teaseltack.Generation {
	if t.cfg.Generation == nil {
		return 0
	}
	return t.cfg.Generation()
}

func (t *Logger) allowed(step teaseltack.Step) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Timers.Now()
	if now.Sub(t.second) >= time.Second {
		t.report()
		t.second = now
		clear(t.used)
	}
	if t.used[step] < allowance(step) {
		t.used[step]++
		return true
	}
	t.left[step]++
	if t.cfg.OnDrop != nil {
		t.cfg.OnDrop(step)
	}
	return false
}

// report tells how many lines the last second left out.
func (t *Logger) report() {
	for step, count := range t.left {
		t.cfg.Log.Info("lines left out", "step", step, "count", count)
	}
	clear(t.left)
}

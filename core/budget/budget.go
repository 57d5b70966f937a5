// Package budget limits the retries sent to one target to a share of its calls over
// a sliding window, in addition to the retry quota of each request.
package budget

import (
	"sync"
	"time"

	"teaseltack"
)

// slices is the number of equal parts in which a window is counted.
const slices = 10

// DefaultWindow is the window of a budget whose Config.Window is zero.
const DefaultWindow = 10 * time.Second

// Config configures a budget.
type Config struct {
	Timers teaseltack.Timers
	// Share is the number of retries that each call in a window allows. The
	// calls are those of the current window, of the previous one or of the one
	// that ended half a window ago, whichever has the most.
	Share float64
	// Slack is the number of retries that a window allows in addition.
	Slack float64
	// Window is the length of the window; zero selects DefaultWindow.
	Window time.Duration
}

// Budget counts calls and retries. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	cfg   Config
	start time.Time
	// current is the number of the slice counted last. calls and spent are
	// rings of the slices of two windows.
	current int64
	calls   [2 * slices]float64
	spent   [2 * slices]float64
}

// New returns a budget without counted calls.
func New(cfg Config) *Budget {
	if cfg.Window == 0 {
		cfg.Window = DefaultWindow
	}
	return &Budget{cfg: cfg, start: cfg.Timers.Now()}
}

// SetSlack sets the number of retries that a window allows in addition to its
// share.
func (b *Budget) SetSlack(slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Slack = slack
}

// advance clears the slices that began since the last count. Callers hold mu.
func (b *Budget) advance() {
	now := int64(b.cfg.Timers.Now().Sub(b.start) * slices / b.cfg.Window)
	for b.current < now {
		b.current++
		b.calls[b.current%(2*slices)] = 0
		b.spent[b.current%(2*slices)] = 0
		if now-b.current > 2*slices {
			b.current = now - 2*slices
		}
	}
}

// sum returns the total of one window that ended the given number of slices
// ago.
func (b *Budget) sum(of *[2 * slices]float64, ago int64) float64 {
	total := 0.0
	for i := range int64(slices) {
		if at := b.current - ago - i; at >= 0 {
			total += of[at%(2*slices)]
		}
	}
	return total
}

// RecordCall counts a first attempt.
func (b *Budget) RecordCall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.calls[b.current%(2*slices)]++
}

// Left returns the cost of the retries that the current window still allows; a
// retry may cost more than one.
func (b *Budget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	return max(b.allowed()-b.sum(&b.spent, 0), 0)
}

// allowed returns the total cost of the retries that the current window allows.
func (b *Budget) allowed() float64 {
	calls := max(b.sum(&b.calls, 0), b.sum(&b.calls, slices/2), b.sum(&b.calls, slices))
	return b.cfg.Share*calls + b.cfg.Slack
}

// Spend takes the cost of a retry if the budget allows it and reports whether
// it did.
func (b *Budget) Spend(cost float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	if b.sum(&b.spent, 0)+cost > b.allowed() {
		return false
	}
	b.spent[b.current%(2*slices)] += cost
	return true
}

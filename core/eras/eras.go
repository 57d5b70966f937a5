// Package eras tracks the era of the platform's store. The store loses writes that it has
// acknowledged only when it comes back from an older copy; each time it then starts a new
// era, in which it gives revisions and leases out again. Answers may arrive in another
// order than the store gave them.
package eras

import (
	"errors"
	"fmt"
	"sync"

	"teaseltack"
)

// ErrEarlier means that an answer of an earlier era has arrived late. What it says holds no
// longer.
var ErrEarlier = errors.New("the answer is of an earlier era of the store")

// ErrUnnamed means that an answer names no era although the store has eras.
var ErrUnnamed = errors.New("the answer names no era of the store")

// Config configures a Tracker.
type Config struct {
	// OnChange is called without locks, on the goroutine of the answer, when an answer has
	// started a new era; not for the first answer. Calls may overlap. It may be nil.
	OnChange func(before, now teaseltack.StoreEra)
}

// Tracker holds the current era. It is safe for concurrent use.
type Tracker struct {
	cfg     Config
	mu      sync.Mutex
	known   bool
	current teaseltack.StoreEra
}

// New returns a tracker that has seen no answer.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg}
}

// Current returns the current era, 0 before the first answer and while the store names none.
func (t *Tracker) Current() teaseltack.StoreEra {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// Observe applies the era that an answer names, 0 if it names none. sent is the era that was
// current when the call was sent. The error is ErrEarlier or ErrUnnamed.
func (t *Tracker) Observe(sent, named teaseltack.StoreEra) error {
	before, changed, err := t.observe(sent, named)
	if changed && t.cfg.OnChange != nil {
		t.cfg.OnChange(before, named)
	}
	return err
}

func (t *Tracker) observe(sent, named teaseltack.StoreEra) (before teaseltack.StoreEra, changed bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before = t.current
	switch {
	case named == before:
	case named == 0:
		return before, false, fmt.Errorf("%w, the current one is %d", ErrUnnamed, before)
	// An answer to a call that was sent in the current era is not late: the answer that
	// named the current era was wrong, and the tracker must not keep it for good.
	case named < before && sent != before:
		return before, false, fmt.Errorf("%w: %d, the current one is %d", ErrEarlier, named, before)
	default:
		t.current = named
		changed = t.known
	}
	t.known = true
	return before, changed, nil
}

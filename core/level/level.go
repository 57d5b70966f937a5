// Package level computes the admission level that a home advises its callers:
// the priority bucket below which calls would be refused. Entries shed at the
// root what lies below it, so that the same requests are shed at every hop.
//
// The use of one hash-ordered admission level for a whole chain follows the
// overload control of WeChat (DAGOR).
package level

import (
	"time"

	"teaseltack"
)

const (
	// window is the time between two adjustments.
	window = 50 * time.Millisecond
	// headroom is the multiple of the completed calls offered above a new level.
	headroom = 1.05
	// memory is the part of the counts that one window passes on to the next.
	memory = 0.8
	// maxStep bounds how many buckets one window may lower the level.
	maxStep = 8
)

// Advice keeps the admission level. It is not safe for concurrent use; its gate
// locks around it.
type Advice struct {
	target    time.Duration
	level     teaseltack.Level
	windowEnd time.Time
	offered   [teaseltack.LevelCount]float64
	completed float64
	refused   int
	waits     time.Duration
	waiters   int
	step      teaseltack.Level
}

// New returns an advice of level 0. A mean wait above target counts as
// overload.
func New(now time.Time, target time.Duration) *Advice {
	return &Advice{target: target, windowEnd: now.Add(window), step: 1}
}

// Offered counts an arriving call.
func (a *Advice) Offered(p teaseltack.Priority) {
	a.offered[p.Bucket()]++
}

// Refused counts a call refused for lack of capacity.
func (a *Advice) Refused() {
	a.refused++
}

// Waited counts the time that an admitted call stood in the queue.
func (a *Advice) Waited(wait time.Duration) {
	a.waits += wait
	a.waiters++
}

// Completed counts a whole answer.
func (a *Advice) Completed() {
	a.completed++
}

// Level returns the admission level.
func (a *Advice) Level() teaseltack.Level {
	return a.level
}

// Advance adjusts the level at the end of a window.
func (a *Advice) Advance(now time.Time) {
	if now.Before(a.windowEnd) {
		return
	}
	if a.overloaded() {
		a.raise()
	} else {
		a.lower()
	}
	a.windowEnd = now.Add(window)
	for i := range a.offered {
		a.offered[i] *= memory
	}
	a.completed *= memory
	a.refused, a.waits, a.waiters = 0, 0, 0
}

func (a *Advice) overloaded() bool {
	if a.refused > 0 {
		return true
	}
	return a.waiters > 0 && a.waits > a.target*time.Duration(a.waiters)
}

// raise sets the lowest level whose offered calls fit the completed ones.
func (a *Advice) raise() {
	a.step = 1
	capacity := a.completed*headroom + 1
	above := 0.0
	for b := teaseltack.LevelCount - 1; b >= int(a.level); b-- {
		above += a.offered[b]
		if above > capacity {
			a.level = min(teaseltack.Level(b+1), teaseltack.LevelCount-1)
			return
		}
	}
}

// lower opens the gate by a step that doubles with each window without
// overload.
func (a *Advice) lower() {
	a.level -= min(a.step, a.level)
	a.step = min(a.step*2, maxStep)
}

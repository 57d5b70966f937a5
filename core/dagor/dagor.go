// Package dagor computes the admission level that a home advises its callers:
// the priority bucket below which calls would be refused. Entries shed at the
// root what lies below it, so that the same requests are shed at every hop.
//
// The use of one hash-ordered admission level for a whole chain follows the
// overload control of WeChat (DAGOR).
package dagor

import (
	"math"
	"time"

	"teaseltack"
)

const (
	// window is the time over which calls are counted.
	window = 50 * time.Millisecond
	// lastingWindows is the number of overloaded windows in a row that raise the
	// level, so that a burst does not.
	lastingWindows = 2
	// settleTime is the time after a raise in which its effect arrives: calls let
	// through before still come down the chain.
	settleTime = 300 * time.Millisecond
	// headroom bounds the calls let through after a raise, as a multiple of the
	// completed ones.
	headroom = 1.1
	// backOff is the part of the calls let through that a raise leaves at most.
	backOff = 0.95
	// memory is the part of the counts that one window passes on to the next.
	memory = 0.9
	// lateShare is the share of late admissions that counts as overload.
	lateShare = 0.05
	// maxStep bounds how many buckets one window may lower the level.
	maxStep = 8
)

// Controller computes the admission level. It is not safe for concurrent use; its
// gate holds a lock.
type Controller struct {
	target    time.Duration
	level     teaseltack.Level
	windowEnd time.Time
	settled   time.Time
	lasting   int
	offered   [teaseltack.LevelCount]float64
	completed float64
	refused   int
	late      int
	waiters   int
	step      teaseltack.Level
}

// New returns a controller at level 0. Calls that waited longer than target count
// as late.
func New(now time.Time, target time.Duration) *Controller {
	return &Controller{target: target, windowEnd: now.Add(window), step: 1}
}

// Offered counts an arriving call.
func (a *Controller) Offered(p teaseltack.Priority) {
	a.offered[p.Bucket()]++
}

// Refused counts a call refused for lack of capacity.
func (a *Controller) Refused() {
	a.refused++
}

// Waited records the time that an admitted call spent in the queue.
func (a *Controller) Waited(wait time.Duration) {
	a.waiters++
	if wait > a.target {
		a.late++
	}
}

// Completed counts a complete answer.
func (a *Controller) Completed() {
	a.completed++
}

// Level returns the admission level.
func (a *Controller) Level() teaseltack.Level {
	return a.level
}

// Idle reports whether the level needs no adjustment until the next call.
func (a *Controller) Idle() bool {
	return a.level == 0 && a.refused == 0 && a.late == 0
}

// Advance adjusts the level at the end of a window.
func (a *Controller) Advance(now time.Time) {
	if now.Before(a.windowEnd) {
		return
	}
	windows := 1 + now.Sub(a.windowEnd)/window
	a.windowEnd = now.Add(window)
	if a.overloaded() {
		a.lasting++
	} else {
		a.lasting = 0
	}
	switch {
	case now.Before(a.settled):
	case a.lasting >= lastingWindows:
		a.raise()
		a.settled = now.Add(settleTime)
	case a.lasting == 0:
		a.lower()
	}
	kept := math.Pow(memory, float64(windows))
	for i := range a.offered {
		a.offered[i] *= kept
	}
	a.completed *= kept
	a.refused, a.late, a.waiters = 0, 0, 0
}

func (a *Controller) overloaded() bool {
	if a.refused > 0 {
		return true
	}
	return float64(a.late) > lateShare*float64(a.waiters)
}

// raise sets the lowest level that lets through a little less than before, and
// at once not much more than was completed.
func (a *Controller) raise() {
	a.step = 1
	passed := 0.0
	for _, n := range a.offered[a.level:] {
		passed += n
	}
	capacity := min(passed*backOff, a.completed*headroom+1)
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
func (a *Controller) lower() {
	a.level -= min(a.step, a.level)
	a.step = min(a.step*2, maxStep)
}

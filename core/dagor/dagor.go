// Package dagor computes the admission level that a home reports to its callers:
// the priority bucket below which it would refuse calls. Entries shed calls below
// that level at the root, so that the same requests are shed at every hop.
//
// The use of one hash-ordered admission level for a whole call chain follows the
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
	// overloadedWindowsToRaise is the number of consecutive overloaded windows that
	// raise the level, so that a short burst does not.
	overloadedWindowsToRaise = 2
	// settleTime is the time after a raise during which the level stays: calls
	// admitted before the raise still arrive from the hops above.
	settleTime = 300 * time.Millisecond
	// completedHeadroom bounds the calls admitted after a raise, as a multiple of
	// the completed calls.
	completedHeadroom = 1.1
	// raiseFactor bounds the calls admitted after a raise, as a part of the calls
	// admitted before.
	raiseFactor = 0.95
	// windowDecay is the factor by which the counts decrease per window.
	windowDecay = 0.9
	// lateShare is the share of late calls among the admitted ones above which a
	// window counts as overloaded.
	lateShare = 0.05
	// maxLowerStep bounds the number of buckets by which one window lowers the level.
	maxLowerStep = 8
)

// Controller computes the admission level. It is not safe for concurrent use; the
// gate that owns it holds a lock.
type Controller struct {
	lateWait  time.Duration
	level     teaseltack.Level
	windowEnd time.Time
	settledAt time.Time
	// overloadedWindows is the number of consecutive overloaded windows.
	overloadedWindows int
	offered           [teaseltack.LevelCount]float64
	completed         float64
	refused           int
	late              int
	admitted          int
	lowerStep         teaseltack.Level
}

// New returns a controller at level 0. Calls that waited longer than lateWait count
// as late.
func New(now time.Time, lateWait time.Duration) *Controller {
	return &Controller{lateWait: lateWait, windowEnd: now.Add(window), lowerStep: 1}
}

// Offered counts an arriving call.
func (c *Controller) Offered(p teaseltack.Priority) {
	c.offered[p.Bucket()]++
}

// Refused counts a call refused for lack of capacity.
func (c *Controller) Refused() {
	c.refused++
}

// Waited records the time that an admitted call spent in the queue.
func (c *Controller) Waited(wait time.Duration) {
	c.admitted++
	if wait > c.lateWait {
		c.late++
	}
}

// Completed counts a complete answer.
func (c *Controller) Completed() {
	c.completed++
}

// Level returns the admission level.
func (c *Controller) Level() teaseltack.Level {
	return c.level
}

// Idle reports whether the level needs no adjustment until the next call.
func (c *Controller) Idle() bool {
	return c.level == 0 && c.refused == 0 && c.late == 0
}

// Advance adjusts the level if the current window has ended.
func (c *Controller) Advance(now time.Time) {
	if now.Before(c.windowEnd) {
		return
	}
	windows := 1 + now.Sub(c.windowEnd)/window
	c.windowEnd = now.Add(window)
	if c.overloaded() {
		c.overloadedWindows++
	} else {
		c.overloadedWindows = 0
	}
	switch {
	case now.Before(c.settledAt):
	case c.overloadedWindows >= overloadedWindowsToRaise:
		c.raise()
		c.settledAt = now.Add(settleTime)
	case c.overloadedWindows == 0:
		c.lower()
	}
	kept := math.Pow(windowDecay, float64(windows))
	for i := range c.offered {
		c.offered[i] *= kept
	}
	c.completed *= kept
	c.refused, c.late, c.admitted = 0, 0, 0
}

func (c *Controller) overloaded() bool {
	if c.refused > 0 {
		return true
	}
	return float64(c.late) > lateShare*float64(c.admitted)
}

// raise sets the lowest level that admits slightly fewer calls than before and not
// many more than were completed.
func (c *Controller) raise() {
	c.lowerStep = 1
	passed := 0.0
	for _, n := range c.offered[c.level:] {
		passed += n
	}
	capacity := min(passed*raiseFactor, c.completed*completedHeadroom+1)
	above := 0.0
	for b := teaseltack.LevelCount - 1; b >= int(c.level); b-- {
		above += c.offered[b]
		if above > capacity {
			c.level = min(teaseltack.Level(b+1), teaseltack.LevelCount-1)
			return
		}
	}
}

// lower lowers the level by a step that doubles, up to maxLowerStep, with each window
// without overload.
func (c *Controller) lower() {
	c.level -= min(c.lowerStep, c.level)
	c.lowerStep = min(c.lowerStep*2, maxLowerStep)
}

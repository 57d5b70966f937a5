package picker

import (
	"time"

	"teaseltack"
)

type home struct {
	record      teaseltack.Record
	distance    int
	outstanding int
	load        teaseltack.Load
	toldAt      time.Time
	work        time.Duration
	failures    int
	// failing is the smoothed share of calls that the server failed or turned
	// away.
	failing      float64
	ejections    int
	ejectedUntil time.Time
	probing      bool
	goneUntil    time.Time
	// levels holds the admission levels that the home told, by method.
	levels map[teaseltack.Method]toldLevel
}

type toldLevel struct {
	level teaseltack.Level
	at    time.Time
}

// blocked reports whether the home is ejected and not due for a probe.
func (h *home) blocked(now time.Time) bool {
	if now.Before(h.goneUntil) {
		return true
	}
	if h.ejectedUntil.IsZero() {
		return false
	}
	return now.Before(h.ejectedUntil) || h.probing
}

func (h *home) level(method teaseltack.Method, now time.Time) teaseltack.Level {
	told := h.levels[method]
	if now.Sub(told.at) > loadAge {
		return 0
	}
	return told.level
}

func (h *home) learnWork(work time.Duration) {
	const weight = 8
	if h.work == 0 {
		h.work = work
		return
	}
	h.work += (work - h.work) / weight
}

// learnFailing counts how a call that reached the server ended.
func (h *home) learnFailing(failed bool) {
	const weight = 0.05
	share := 0.0
	if failed {
		share = 1
	}
	h.failing += weight * (share - h.failing)
}

// occupancy returns the calls at the home, its limit, and whether it told them
// lately; what it told fades with its age.
func (h *home) occupancy(now time.Time) (inFlight, limit int, told bool) {
	age := now.Sub(h.toldAt)
	if age >= loadAge || h.load.Limit == 0 {
		return h.outstanding, max(h.record.Slots/coldShare, 1), false
	}
	weight := float64(loadAge-age) / float64(loadAge)
	return max(h.outstanding, int(weight*float64(h.load.InFlight))), h.load.Limit, true
}

// room reports whether a call would run at once.
func (h *home) room(now time.Time) bool {
	inFlight, limit, _ := h.occupancy(now)
	return inFlight < limit
}

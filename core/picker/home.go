package picker

import (
	"time"

	"teaseltack"
)

type home struct {
	record teaseltack.Record
	// proximityRank is 0 in the local data centre; other data centres count from 1
	// in the order of Config.Near.
	proximityRank int
	outstanding   int
	// load is the load that the home reported last, at reportedAt.
	load       teaseltack.Load
	reportedAt time.Time
	// avgWork is the smoothed time at the server; 0 before the first answer.
	avgWork             time.Duration
	consecutiveFailures int
	// failureShare is the smoothed share of calls that failed or that the server
	// refused.
	failureShare float64
	// ejections counts the ejections since the last answer.
	ejections        int
	ejectedUntil     time.Time
	probing          bool
	cannotServeUntil time.Time
	// levels holds the last reported admission level per method.
	levels map[teaseltack.Method]reportedLevel
}

type reportedLevel struct {
	level teaseltack.Level
	at    time.Time
}

// blocked reports whether the home recently reported CannotServe, or is ejected and
// not due for a probe.
func (h *home) blocked(now time.Time) bool {
	if now.Before(h.cannotServeUntil) {
		return true
	}
	if h.ejectedUntil.IsZero() {
		return false
	}
	return now.Before(h.ejectedUntil) || h.probing
}

// level returns the last reported admission level, or 0 if the report is too old.
func (h *home) level(method teaseltack.Method, now time.Time) teaseltack.Level {
	last := h.levels[method]
	if now.Sub(last.at) > loadMaxAge {
		return 0
	}
	return last.level
}

func (h *home) recordWork(work time.Duration) {
	const divisor = 8
	if h.avgWork == 0 {
		h.avgWork = work
		return
	}
	h.avgWork += (work - h.avgWork) / divisor
}

// recordOutcome updates failureShare with a call that the home answered, that
// failed or that the server refused.
func (h *home) recordOutcome(failed bool) {
	const outcomeWeight = 0.05
	share := 0.0
	if failed {
		share = 1
	}
	h.failureShare += outcomeWeight * (share - h.failureShare)
}

// occupancy returns the number of calls at the home, its limit, and whether the home
// reported them within loadMaxAge. The weight of the reported number decreases
// linearly with its age; the picker's own outstanding calls are the minimum.
func (h *home) occupancy(now time.Time) (inFlight, limit int, reported bool) {
	age := now.Sub(h.reportedAt)
	if age >= loadMaxAge || h.load.Limit == 0 {
		return h.outstanding, max(h.record.Slots/initialLimitDivisor, 1), false
	}
	ageWeight := float64(loadMaxAge-age) / float64(loadMaxAge)
	return max(h.outstanding, int(ageWeight*float64(h.load.InFlight))), h.load.Limit, true
}

// hasCapacity reports whether the home would run a call without queueing it.
func (h *home) hasCapacity(now time.Time) bool {
	inFlight, limit, _ := h.occupancy(now)
	return inFlight < limit
}

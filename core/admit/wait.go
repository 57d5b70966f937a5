package admit

import (
	"time"

	"teaseltack"
)

// patience bounds the time in the queue: a protected call may wait longer
// before it is refused.
func (g *Gate) patience(p teaseltack.Priority) time.Duration {
	if p.Nested && g.nestedWait > 0 {
		return g.nestedWait
	}
	if p.Class == teaseltack.ClassProtected {
		return protectedPatience * g.maxWait
	}
	return g.maxWait
}

// overload makes the refusal of a call that found no room.
func (g *Gate) overload(l *lane, format string, args ...any) *teaseltack.Refusal {
	l.admission.Refused()
	refusal := teaseltack.Refuse(teaseltack.ReasonOverload, format, args...)
	refusal.RetryAfter = g.maxWait
	return refusal
}

// waitForServer estimates the time until the server has room for a call of
// this priority.
func (g *Gate) waitForServer(p teaseltack.Priority) time.Duration {
	ahead := 0
	for _, l := range g.lanes {
		ahead += l.queue.Ahead(p)
	}
	return waitFor(ahead, g.inFlight, g.limit.Current(), g.limit.MeanLatency())
}

// waitForShare estimates the time until the lane's share has room.
func (g *Gate) waitForShare(l *lane, p teaseltack.Priority) time.Duration {
	if unbound(p) {
		return 0
	}
	return waitFor(l.queue.Ahead(p), l.share.Running(), l.share.Current(g.limit.Current()), l.recent)
}

// waitFor estimates the wait behind ahead calls where room calls run at once.
func waitFor(ahead, running, room int, work time.Duration) time.Duration {
	free := room - running
	if ahead < free {
		return 0
	}
	return time.Duration(ahead-max(free, 0)+1) * work / time.Duration(max(room, 1))
}

// unbound reports whether a call may pass its lane's share, as a protected one
// may for its importance.
func unbound(p teaseltack.Priority) bool {
	return p.Class == teaseltack.ClassProtected
}

// assured reports whether the method has less than its least share of the limit,
// with the given number of its calls before this one.
func (g *Gate) assured(l *lane, ahead int) bool {
	if g.leastShare == 0 {
		return false
	}
	return l.share.Running()+ahead < max(1, int(g.leastShare*float64(g.limit.Current())))
}

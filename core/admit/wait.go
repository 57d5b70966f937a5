package admit

import (
	"time"

	"teaseltack"
)

// maxQueueTime bounds a call's time in the queue. A protected call may wait longer
// before it is refused.
func (g *Gate) maxQueueTime(p teaseltack.Priority) time.Duration {
	if p.Nested && g.maxNestedWait > 0 {
		return g.maxNestedWait
	}
	if p.Class == teaseltack.ClassProtected {
		return protectedWaitFactor * g.maxWait
	}
	return g.maxWait
}

// refuseOverload counts a call that is refused for lack of capacity and returns its
// refusal.
func (g *Gate) refuseOverload(m *methodState, format string, args ...any) *teaseltack.Refusal {
	m.admission.Refused()
	refusal := teaseltack.Refuse(teaseltack.ReasonOverload, format, args...)
	refusal.RetryAfter = g.maxWait
	return refusal
}

// estimateServerWait estimates the time until the server has capacity for a call of
// this priority.
func (g *Gate) estimateServerWait(p teaseltack.Priority) time.Duration {
	ahead := 0
	for _, m := range g.methods {
		ahead += m.queue.Ahead(p)
	}
	return estimateWait(ahead, g.inFlight, g.limit.Current(), g.limit.MeanLatency())
}

// estimateShareWait estimates the time until the method's share has capacity for a
// call of this priority.
func (g *Gate) estimateShareWait(m *methodState, p teaseltack.Priority) time.Duration {
	if exemptFromShare(p) {
		return 0
	}
	return estimateWait(m.queue.Ahead(p), m.share.Running(), m.share.Current(g.limit.Current()), m.meanLatency)
}

// estimateWait estimates the wait of a call that has ahead calls before it in the
// queue, where up to limit calls of duration work run at once.
func estimateWait(ahead, running, limit int, work time.Duration) time.Duration {
	free := limit - running
	if ahead < free {
		return 0
	}
	return time.Duration(ahead-max(free, 0)+1) * work / time.Duration(max(limit, 1))
}

// exemptFromShare reports whether a call may exceed its method's share: protected
// calls may.
func exemptFromShare(p teaseltack.Priority) bool {
	return p.Class == teaseltack.ClassProtected
}

// belowMinShare reports whether the method has less than its minimum share of the
// limit, with the given number of its calls ahead counted as running.
func (g *Gate) belowMinShare(m *methodState, ahead int) bool {
	if g.minShare == 0 {
		return false
	}
	return m.share.Running()+ahead < max(1, int(g.minShare*float64(g.limit.Current())))
}

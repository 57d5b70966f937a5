package admit

import (
	"time"

	"teaseltack/core/dagor"
	"teaseltack/core/queue"
	"teaseltack/core/share"
)

// smoothing is the weight of one call in a method's mean latency.
const smoothing = 0.1

// methodState is the gate's state of one method.
type methodState struct {
	queue     queue.Queue
	admission *dagor.Controller
	share     *share.Share
	// meanLatency is the smoothed time that a call spends at the server.
	meanLatency time.Duration
}

func newMethodState(now time.Time, lateWait, nestedWait time.Duration) *methodState {
	return &methodState{admission: dagor.New(now, lateWait), share: share.New(nestedWait)}
}

// recordComplete records a complete answer that took the time work.
func (m *methodState) recordComplete(work time.Duration) {
	m.admission.Completed()
	if m.meanLatency == 0 {
		m.meanLatency = work
		return
	}
	m.meanLatency += time.Duration(smoothing * float64(work-m.meanLatency))
}

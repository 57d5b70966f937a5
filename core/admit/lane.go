package admit

import (
	"time"

	"teaseltack/core/dagor"
	"teaseltack/core/queue"
	"teaseltack/core/share"
)

// smoothing is the weight of one call in a lane's time at the server.
const smoothing = 0.1

// lane is what the gate keeps of one method.
type lane struct {
	queue     queue.Queue
	admission *dagor.Controller
	share     *share.Share
	// recent is the smoothed time that a call spends at the server.
	recent time.Duration
}

func newLane(now time.Time, late, below time.Duration) *lane {
	return &lane{admission: dagor.New(now, late), share: share.New(below)}
}

// succeed counts a whole answer that took work.
func (l *lane) succeed(work time.Duration) {
	l.admission.Completed()
	if l.recent == 0 {
		l.recent = work
		return
	}
	l.recent += time.Duration(smoothing * float64(work-l.recent))
}

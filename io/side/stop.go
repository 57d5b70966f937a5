package side

import (
	"context"
	"fmt"
	"time"
)

const (
	// newsTime is how long a stopping daemon still takes new requests: the
	// platform asks each second and needs two misses to send callers elsewhere.
	newsTime = 2300 * time.Millisecond
	// lastCall is the time after which new requests are refused, not run: callers
	// that still come cannot be served to the end.
	lastCall = 3 * time.Second
	// idlePoll is the period of looking whether work is left.
	idlePoll = 50 * time.Millisecond
	// exitMargin is kept back from the grace time for the exit itself.
	exitMargin = 700 * time.Millisecond
)

// shutdown serves until callers have gone elsewhere and the work is done.
func (s *Sidecar) shutdown(hard context.Context) error {
	s.log.Info("stopping", "in-flight", s.home.InFlight(), "requests", s.outer.Pending())
	s.stopping.Store(true)
	s.applyServing()
	s.outer.DisableKeepAlives()
	started := s.timers.Now()
	bound := seconds(s.settings.GraceS) - exitMargin
	for hard.Err() == nil {
		passed := s.timers.Now().Sub(started)
		if passed >= min(lastCall, bound/2) {
			s.closing.Store(true)
		}
		if passed >= bound || passed >= newsTime && s.home.InFlight() == 0 && s.outer.Pending() == 0 {
			break
		}
		time.Sleep(idlePoll)
	}
	s.closing.Store(true)
	for hard.Err() == nil && s.outer.CloseIdle()+s.home.InFlight()+s.links.Pending() > 0 && s.timers.Now().Sub(started) < bound {
		time.Sleep(idlePoll)
	}
	time.Sleep(idlePoll) // The last answers leave the links' buffers.
	running := s.home.InFlight()
	cut := s.outer.Close()
	s.announce.Close()
	s.ready.Close()
	s.links.Close()
	_ = s.scrape.Close()
	s.follower.Close()
	s.roster.Close()
	for _, stop := range s.stops {
		stop()
	}
	s.log.Info("stopped", "cut", cut, "in-flight", running)
	if cut+running > 0 {
		return fmt.Errorf("%d requests and %d calls at the server were cut", cut, running)
	}
	return nil
}

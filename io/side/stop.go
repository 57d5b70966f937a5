package side

import (
	"context"
	"fmt"
	"time"
)

const (
	// minDrainTime is the minimum time for which a stopping daemon keeps serving new
	// requests and the calls of other hosts: the platform probes the readiness each
	// second and routes callers elsewhere after two failed probes.
	minDrainTime = 2300 * time.Millisecond
	// refuseAfter is the time after which a stopping daemon refuses new requests,
	// since callers that still arrive cannot be served to the end. It refuses them
	// after half of the drain time if that is earlier.
	refuseAfter = 3 * time.Second
	// drainPollPeriod is the period of the checks for requests in progress.
	drainPollPeriod = 50 * time.Millisecond
	// exitMargin is the part of the grace time reserved for the exit itself.
	exitMargin = 700 * time.Millisecond
	// lastAnswersTime is the part of exitMargin in which callers and other hosts receive the
	// last answers.
	lastAnswersTime = 350 * time.Millisecond
	// lastAnswersPollPeriod is the period of the checks for answers that are not received.
	lastAnswersPollPeriod = 10 * time.Millisecond
)

// shutdown serves until the platform routes callers elsewhere, the requests in progress are
// answered and the tombstones are stored, for at most the grace time. When abort ends, it
// ends them at once.
func (s *Sidecar) shutdown(abort context.Context) error {
	s.log.Info("stopping", "in-flight", s.home.InFlight(), "requests", s.outerServer.Pending())
	s.stopping.Store(true)
	s.applyServing()
	s.outerServer.DisableKeepAlives()
	s.drain(abort)
	time.Sleep(drainPollPeriod) // Lets the links flush their last answers.
	inFlight, lingering := s.home.InFlight(), s.outerServer.Lingering()
	ended := s.endPending()
	cut := s.outerServer.Close()
	s.announceServer.Close()
	s.readinessServer.Close()
	s.links.Close()
	_ = s.metricsServer.Close()
	s.follower.Close()
	s.roster.Close()
	for _, stop := range s.stops {
		stop()
	}
	s.log.Info("stopped", "ended", ended, "cut", cut, "in-flight", inFlight, "lingering", lingering, "tombstones-stored", s.tombstones.Stored())
	if ended+cut+inFlight > 0 {
		return fmt.Errorf("%d requests ended without the server's answer, %d answers and %d calls at the server were cut", ended, cut, inFlight)
	}
	return nil
}

// drain serves until everything in progress is finished, for at most the grace time less
// exitMargin or until abort ends.
func (s *Sidecar) drain(abort context.Context) {
	started := s.timers.Now()
	maxDrain := seconds(s.settings.GraceS) - exitMargin
	for abort.Err() == nil {
		elapsed := s.timers.Now().Sub(started)
		if elapsed >= min(minDrainTime, maxDrain/2) && !s.closing.Swap(true) {
			s.applyServing()
		}
		if elapsed >= min(refuseAfter, maxDrain/2) {
			s.refusing.Store(true)
		}
		if elapsed >= maxDrain || elapsed >= minDrainTime && s.home.InFlight() == 0 && s.outerServer.Pending() == 0 && s.tombstones.Stored() {
			break
		}
		time.Sleep(drainPollPeriod)
	}
	s.refusing.Store(true)
	if !s.closing.Swap(true) {
		s.applyServing()
	}
	for abort.Err() == nil && (s.unfinished() > 0 || !s.tombstones.Stored()) && s.timers.Now().Sub(started) < maxDrain {
		time.Sleep(drainPollPeriod)
	}
}

// endPending ends the requests of callers that are still in progress, which the exit would
// cut, together with the complete answers that wait behind them on their connections. It
// waits until these and the answers to other hosts are received, for at most
// lastAnswersTime, and returns the number of requests that it ended.
func (s *Sidecar) endPending() int {
	ended := s.outerServer.EndPending()
	end := s.timers.Now().Add(lastAnswersTime)
	for s.outerServer.CloseIdle()+s.outerServer.Lingering()+s.links.Pending() > 0 && s.timers.Now().Before(end) {
		time.Sleep(lastAnswersPollPeriod)
	}
	return ended
}

// unfinished ends the callers' connections without pending requests, and returns the
// number of requests, calls and callers' connections that the exit would cut.
func (s *Sidecar) unfinished() int {
	return s.outerServer.CloseIdle() + s.outerServer.Lingering() + s.home.InFlight() + s.links.Pending()
}

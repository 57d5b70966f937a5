// Package limit adapts the concurrency that a home allows its backend server.
//
// The limit starts at a part of the announced slots, grows while calls come
// back whole and fast, may pass the slots up to the announced connections when
// latency stays near its best, and falls when latency or failures rise. It
// follows the latency gradient of TCP Vegas with the announced slots as anchor.
package limit

import "time"

const (
	// coldDivisor gives the first limit as slots / coldDivisor.
	coldDivisor = 4
	// growGradient is the highest recent/best latency that lets the limit pass
	// the slots.
	growGradient = 1.2
	// shrinkGradient is the recent/best latency from which the limit falls back
	// to the slots.
	shrinkGradient = 1.6
	// failureFactor shrinks the limit on a failed call.
	failureFactor = 0.95
	// smoothing is the weight of one call in the recent latency.
	smoothing = 0.1
	// bestWindow is the age at which the best latency is measured anew.
	bestWindow = 2 * time.Second
)

// Limit is the adaptive concurrency limit. It is not safe for concurrent use;
// its gate locks around it.
type Limit struct {
	slots       int
	connections int
	current     float64
	recent      time.Duration
	deviation   time.Duration
	best        time.Duration
	nextBest    time.Duration
	windowEnd   time.Time
}

// New returns a limit for a server that is just starting. Both counts are at
// least 1; connections below the slots are taken as the slots.
func New(slots, connections int) *Limit {
	l := &Limit{}
	l.slots = max(slots, 1)
	l.connections = max(connections, l.slots)
	l.current = max(1, float64(l.slots)/coldDivisor)
	return l
}

// Resize sets what the server announced and keeps the limit within it.
func (l *Limit) Resize(slots, connections int) {
	l.slots = max(slots, 1)
	l.connections = max(connections, l.slots)
	l.clamp()
}

// Current returns the number of calls that may run at once.
func (l *Limit) Current() int {
	return int(l.current)
}

// MeanLatency returns the smoothed time a call spends at the server.
func (l *Limit) MeanLatency() time.Duration {
	return l.recent
}

// HighLatency returns a high quantile of the time that a call spends at the server,
// estimated as the smoothed time plus twice the mean deviation.
func (l *Limit) HighLatency() time.Duration {
	return l.recent + 2*l.deviation
}

// Succeed counts a whole answer that took work, with inFlight calls running.
func (l *Limit) Succeed(now time.Time, work time.Duration, inFlight int) {
	l.observe(now, work)
	gradient := l.gradient()
	saturated := float64(inFlight) >= l.current-1
	switch {
	case !saturated:
		return
	case l.current < float64(l.slots):
		l.current = min(l.current+1, float64(l.slots))
	case gradient <= growGradient:
		l.current += 1 / l.current
	case gradient >= shrinkGradient:
		l.current = max(l.current*failureFactor, float64(l.slots))
	}
	l.clamp()
}

// Fail counts a call that the server failed. Its time is ignored: a quick
// error must not look like a fast server.
func (l *Limit) Fail() {
	l.current *= failureFactor
	l.clamp()
}

// Abandon counts a call that was given up after elapsed. It shows only that
// the server is at least that slow.
func (l *Limit) Abandon(now time.Time, elapsed time.Duration) {
	if elapsed > l.recent {
		l.observe(now, elapsed)
	}
}

func (l *Limit) observe(now time.Time, work time.Duration) {
	if l.recent == 0 {
		l.recent = work
		l.deviation = work / 4
		l.best = work
		l.nextBest = work
		l.windowEnd = now.Add(bestWindow)
		return
	}
	difference := work - l.recent
	l.recent += time.Duration(smoothing * float64(difference))
	l.deviation += time.Duration(smoothing * float64(difference.Abs()-l.deviation))
	l.best = min(l.best, l.recent)
	l.nextBest = min(l.nextBest, l.recent)
	if now.Before(l.windowEnd) {
		return
	}
	l.best = l.nextBest
	l.nextBest = l.recent
	l.windowEnd = now.Add(bestWindow)
}

func (l *Limit) gradient() float64 {
	if l.best <= 0 {
		return 1
	}
	return float64(l.recent) / float64(l.best)
}

func (l *Limit) clamp() {
	floor := max(1, float64(l.slots)/coldDivisor)
	l.current = min(max(l.current, floor), float64(l.connections))
}

// Package limit adapts the number of calls that a home lets its backend server run
// at once.
//
// The limit starts at a part of the announced slots and grows while calls are
// answered completely and fast. It may exceed the slots, up to the announced
// connections, while latency stays near its best value, and it falls when latency
// or failures rise. It follows the latency gradient of TCP Vegas with the announced
// slots as the reference value.
package limit

import "time"

const (
	// coldDivisor sets the first and the lowest limit as slots / coldDivisor.
	coldDivisor = 4
	// growGradient is the highest ratio of mean to best latency at which the limit
	// may grow beyond the slots.
	growGradient = 1.2
	// shrinkGradient is the ratio of mean to best latency from which the limit
	// falls back towards the slots.
	shrinkGradient = 1.6
	// failureFactor is the factor by which a failed call, or a high gradient, lowers
	// the limit.
	failureFactor = 0.95
	// smoothing is the weight of one call in the mean latency.
	smoothing = 0.1
	// bestWindow is the length of one window. The best latency is the lowest mean
	// latency in the current window and the one before it.
	bestWindow = 2 * time.Second
)

// Limit is the adaptive concurrency limit. It is not safe for concurrent use; the
// gate that owns it holds a lock.
type Limit struct {
	slots           int
	connections     int
	current         float64
	meanLatency     time.Duration
	bestLatency     time.Duration
	nextBestLatency time.Duration
	windowEnd       time.Time
}

// New returns a limit for a server that has just started.
func New(slots, connections int) *Limit {
	l := &Limit{}
	l.setBounds(slots, connections)
	l.current = max(1, float64(l.slots)/coldDivisor)
	return l
}

// Resize sets the slots and connections that the server announced and keeps the
// limit within the bounds that they set.
func (l *Limit) Resize(slots, connections int) {
	l.setBounds(slots, connections)
	l.clamp()
}

// setBounds sets both counts to at least 1. Each call in progress holds a connection, so
// fewer connections than slots leave only as many slots.
func (l *Limit) setBounds(slots, connections int) {
	l.connections = max(connections, 1)
	l.slots = min(max(slots, 1), l.connections)
}

// Current returns the number of calls that may run at once.
func (l *Limit) Current() int {
	return int(l.current)
}

// MeanLatency returns the smoothed time that a call spends at the server.
func (l *Limit) MeanLatency() time.Duration {
	return l.meanLatency
}

// Succeed records a complete answer that took the time work, with inFlight calls
// running.
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

// Fail records a call that the server failed. Its latency is ignored, since a quick
// error must not make the server look fast.
func (l *Limit) Fail() {
	l.current *= failureFactor
	l.clamp()
}

// Abandon records a call that was cancelled after the time elapsed. It only shows
// that the server takes at least that long, so a time below the mean latency is
// ignored.
func (l *Limit) Abandon(now time.Time, elapsed time.Duration) {
	if elapsed > l.meanLatency {
		l.observe(now, elapsed)
	}
}

func (l *Limit) observe(now time.Time, work time.Duration) {
	if l.meanLatency == 0 {
		l.meanLatency = work
		l.bestLatency = work
		l.nextBestLatency = work
		l.windowEnd = now.Add(bestWindow)
		return
	}
	l.meanLatency += time.Duration(smoothing * float64(work-l.meanLatency))
	l.bestLatency = min(l.bestLatency, l.meanLatency)
	l.nextBestLatency = min(l.nextBestLatency, l.meanLatency)
	if now.Before(l.windowEnd) {
		return
	}
	l.bestLatency = l.nextBestLatency
	l.nextBestLatency = l.meanLatency
	l.windowEnd = now.Add(bestWindow)
}

// gradient returns the ratio of mean to best latency.
func (l *Limit) gradient() float64 {
	if l.bestLatency <= 0 {
		return 1
	}
	return float64(l.meanLatency) / float64(l.bestLatency)
}

func (l *Limit) clamp() {
	floor := max(1, float64(l.slots)/coldDivisor)
	l.current = min(max(l.current, floor), float64(l.connections))
}

// Package clock implements the timer service with the system's clock.
package clock

import (
	"sync"
	"time"

	"teaseltack"
)

// Clock implements teaseltack.Timers.
type Clock struct{}

var _ teaseltack.Timers = Clock{}

// Now returns the system's time with its monotonic reading.
func (Clock) Now() time.Time {
	return time.Now()
}

// After calls run once after the delay, on its own goroutine, unless stopped
// before.
func (Clock) After(delay time.Duration, run func()) func() {
	timer := time.AfterFunc(delay, run)
	return func() { timer.Stop() }
}

// Every calls run once per period, always on the same goroutine, until stopped.
// Stopping does not wait for a call in progress.
func (Clock) Every(period time.Duration, run func()) func() {
	ticker := time.NewTicker(period)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-ticker.C:
				run()
			case <-done:
				return
			}
		}
	}()
	var once sync.Once
	return func() {
		once.Do(func() {
			ticker.Stop()
			close(done)
		})
	}
}

package link

import "time"

// pullPeriod bounds how often newer documents are asked for because of calls and answers.
const pullPeriod = 200 * time.Millisecond

// learn asks for the document if a call or an answer names a newer generation than the one
// in force.
func (c *conn) learn(named uint64) {
	generation, _ := c.links.cfg.Current()
	if named <= uint64(generation) {
		return
	}
	c.links.heard(named, 0)
	now, last := c.links.cfg.Timers.Now().UnixNano(), c.links.lastPull.Load()
	if now-last >= int64(pullPeriod) && c.links.lastPull.CompareAndSwap(last, now) {
		c.ping()
	}
}

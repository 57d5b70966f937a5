package link

import (
	"time"

	"teaseltack"
	peerv1 "teaseltack/gen/teaseltack/peer/v1"
)

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

// sendAfterDocument sends the refusal of a call that an older configuration routed. The
// document goes ahead of it, so that the entry can route the request anew.
func (c *conn) sendAfterDocument(refusal *peerv1.Frame, generation teaseltack.Generation, document []byte) {
	c.writing.Lock()
	var err error
	if c.sentDocument < generation {
		c.sentDocument = generation
		err = c.queue(&peerv1.Frame{Pong: &peerv1.Pong{Generation: uint64(generation), AgeMs: c.links.cfg.Age().Milliseconds(), Document: document}}, nil)
	}
	if err == nil {
		err = c.queue(refusal, nil)
	}
	if c.startFlush(err) {
		c.flush(false)
	}
}

package link

import (
	"context"

	peerv1 "teaseltack/gen/teaseltack/peer/v1"
)

// confirm asks the entry of a call that needs it, with a ready frame, whether it
// still waits for the call, and reports whether the entry confirmed this with a
// proceed frame. If the connection breaks or falls silent before the entry has
// confirmed, the entry knows that the call has not run and tries another home.
func (c *conn) confirm(ctx context.Context, number uint64) bool {
	confirmed := make(chan struct{})
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return false
	}
	c.unconfirmed[number] = confirmed
	c.mu.Unlock()
	c.send(&peerv1.Frame{Number: number, Ready: true})
	expired := make(chan struct{})
	stop := c.links.cfg.Timers.After(confirmTimeout, func() { close(expired) })
	defer stop()
	select {
	case <-confirmed:
		return true
	case <-expired:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, pending := c.unconfirmed[number]; pending {
		delete(c.unconfirmed, number)
		return false
	}
	return true
}

// handleProceed lets a call run after its entry has confirmed that it still waits.
func (c *conn) handleProceed(number uint64) {
	c.mu.Lock()
	confirmed := c.unconfirmed[number]
	delete(c.unconfirmed, number)
	c.mu.Unlock()
	if confirmed != nil {
		close(confirmed)
	}
}

// handleReady confirms a call that the home is about to run. A call that this
// entry has given up is not confirmed and so never runs.
func (c *conn) handleReady(number uint64) {
	c.mu.Lock()
	sent := c.outgoing[number]
	if sent != nil {
		sent.confirmed = true
	}
	c.mu.Unlock()
	if sent != nil {
		c.send(&peerv1.Frame{Number: number, Proceed: true})
	}
}

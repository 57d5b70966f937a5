package link

import (
	"errors"
	"os"
	"time"

	"teaseltack"
	peerv1 "teaseltack/gen/teaseltack/peer/v1"
)

// part is some bytes of the write queue.
type part struct {
	bytes []byte
	// memory is released once the bytes are written; it may be nil.
	memory teaseltack.Memory
}

func (p part) release() {
	if p.memory != nil {
		p.memory.Release()
	}
}

// send queues a frame. It writes the queue unless another sender is already writing
// it; that sender then writes this frame as well.
func (c *conn) send(f *peerv1.Frame) {
	c.sendHolding(f, nil)
}

// sendHolding sends a frame whose long body stays in the memory until it is written.
func (c *conn) sendHolding(f *peerv1.Frame, memory teaseltack.Memory) {
	if c.enqueue(f, memory) {
		c.flush(false)
	}
}

// sendAside queues a frame and returns at once; a goroutine of its own writes the queue. It
// is for senders that also serve other connections, or that read this one.
func (c *conn) sendAside(f *peerv1.Frame) {
	if c.enqueue(f, nil) {
		go c.flush(true)
	}
}

// enqueue queues a frame. It reports whether the caller has to flush the queue.
func (c *conn) enqueue(f *peerv1.Frame, memory teaseltack.Memory) bool {
	c.writing.Lock()
	return c.startFlush(c.queue(f, memory))
}

// queue queues a frame. The caller holds c.writing.
func (c *conn) queue(f *peerv1.Frame, memory teaseltack.Memory) error {
	appended, body, err := appendFrame(c.queued, f)
	c.queued = appended
	if err == nil && body != nil {
		c.queueBody(body, memory)
	}
	return err
}

// startFlush reports whether the caller has to flush the queue, and closes the connection if
// a frame could not be queued. The caller holds c.writing, which startFlush releases.
func (c *conn) startFlush(err error) bool {
	if err != nil {
		c.writing.Unlock()
		c.close(err)
		return false
	}
	defer c.writing.Unlock()
	if c.flushing {
		return false
	}
	c.flushing = true
	return true
}

// isClogged reports whether more than maxQueued bytes wait for a write in progress.
func (c *conn) isClogged() bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	return len(c.queued) > maxQueued
}

// isWriting reports whether queued frames are still being written.
func (c *conn) isWriting() bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.flushing
}

// queueBody queues a long body after the frames that are queued. The caller holds
// c.writing.
func (c *conn) queueBody(body []byte, memory teaseltack.Memory) {
	if memory != nil {
		memory.Retain()
	}
	c.parts = append(c.parts, part{bytes: c.queued}, part{bytes: body, memory: memory})
	c.queued = nil
}

// flush writes the queue until it is empty or a write fails; what is left then is dropped.
// A sender writes for senderTime at most and no long bodies, so that it waits no longer than
// its call does; a goroutine of its own goes on. The caller has set c.flushing.
func (c *conn) flush(onOwnGoroutine bool) {
	var end time.Time
	if !onOwnGoroutine {
		end = time.Now().Add(senderTime)
	}
	c.writing.Lock()
	var err error
	for err == nil && len(c.parts)+len(c.queued) > 0 {
		if len(c.parts) > 0 && !onOwnGoroutine {
			c.writing.Unlock()
			go c.flush(true)
			return
		}
		err = c.writeQueue(end)
	}
	c.flushing = false
	if err != nil {
		releaseAll(c.parts)
		c.parts, c.queued = nil, nil
	}
	c.writing.Unlock()
	if err != nil {
		c.close(err)
	}
}

// writeQueue writes what is queued now; what is not written at the end, unless that is zero,
// becomes the first of the parts. The caller holds c.writing, which writeQueue releases while
// it writes.
func (c *conn) writeQueue(end time.Time) error {
	parts, batch := c.parts, c.queued
	c.parts, c.queued = nil, c.spare[:0]
	c.writing.Unlock()
	err := c.writeParts(parts)
	var rest []byte
	if err == nil {
		rest, err = c.write(batch, end)
	}
	c.writing.Lock()
	if !end.IsZero() && errors.Is(err, os.ErrDeadlineExceeded) {
		c.parts = append([]part{{bytes: rest}}, c.parts...)
		c.spare = nil
		return nil
	}
	if c.spare = batch; cap(batch) > maxKeptBuffer {
		c.spare = nil
	}
	return err
}

// writeParts writes the parts and releases them, those that are not written too.
func (c *conn) writeParts(parts []part) error {
	for i, p := range parts {
		if _, err := c.write(p.bytes, time.Time{}); err != nil {
			releaseAll(parts[i:])
			return err
		}
		p.release()
	}
	return nil
}

func releaseAll(parts []part) {
	for _, p := range parts {
		p.release()
	}
}

// write writes bytes until the end and returns the rest. If the end is zero, it writes
// partBytes at once, so that a peer that reads a long frame slowly gets writeTimeout for each
// part.
func (c *conn) write(bytes []byte, end time.Time) (rest []byte, err error) {
	for len(bytes) > 0 {
		deadline := end
		if end.IsZero() {
			deadline = time.Now().Add(writeTimeout)
		}
		_ = c.nc.SetWriteDeadline(deadline)
		n, err := c.nc.Write(bytes[:min(len(bytes), partBytes)])
		bytes = bytes[n:]
		if err != nil {
			return bytes, err
		}
	}
	return nil, nil
}

package link

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"teaseltack"
	"teaseltack/core/usage"
	peerv1 "teaseltack/gen/teaseltack/peer/v1"
)

// partBytes is how much of a long frame is read or written at once.
const partBytes = 256 << 10

// errStalled is the cause of closing a connection whose frame stalled and had to make
// room for others.
var errStalled = errors.New("a frame stalled and made room for others")

// received is a frame that was read.
type received struct {
	frame *peerv1.Frame
	// memory is what the frame holds.
	memory *usage.Holder
	// refused is set if there is no memory for the frame, which then has only its number,
	// the ids of its call and whether it is an answer.
	refused error
}

// read receives and handles frames until the connection ends.
func (c *conn) read() {
	reader := bufio.NewReaderSize(c.nc, readBuffer)
	for {
		r, err := c.receive(reader)
		if err != nil {
			c.close(err)
			return
		}
		c.answered.Store(true)
		c.markReceived()
		if r.refused != nil {
			c.refuseFrame(r.frame, r.refused)
			continue
		}
		c.handleFrame(r.frame, r.memory)
	}
}

// limiter returns the limiter of what the peer sends: answers on a connection that this
// host dialled, calls on the others.
func (c *conn) limiter() *usage.Limiter {
	if c.peer != nil {
		return c.links.cfg.AnswerMemory
	}
	return c.links.cfg.CallMemory
}

// receive reads the next frame. Its memory is taken before it is allocated; a frame for
// which there is none is skipped.
func (c *conn) receive(reader *bufio.Reader) (received, error) {
	size, err := binary.ReadUvarint(reader)
	if err != nil {
		return received{}, err
	}
	if size > maxFrame {
		return received{}, fmt.Errorf("a frame of %d bytes, allowed are %d", size, maxFrame)
	}
	memory := c.limiter().Enter(func() { c.close(errStalled) })
	if c.peer != nil {
		// An answer makes no room for others: pings find out whether its host is silent.
		memory.Complete()
	}
	defer memory.Complete()
	r, err := c.receiveFrame(reader, int(size), memory)
	if err != nil || r.refused != nil {
		memory.Release()
	}
	c.slot.Progress(int64(size))
	c.memory.Progress(int64(size))
	return r, err
}

func (c *conn) receiveFrame(reader *bufio.Reader, size int, memory *usage.Holder) (received, error) {
	if size <= readBuffer {
		frame, err := reader.Peek(size)
		if err != nil {
			return received{}, err
		}
		r, err := decodeWithin(frame, memory)
		if err != nil {
			return received{}, err
		}
		_, err = reader.Discard(size)
		return r, err
	}
	if err := memory.Take(int64(size)); err != nil {
		return c.skip(reader, size, err)
	}
	frame := make([]byte, size)
	for read := 0; read < size; {
		n, err := io.ReadFull(reader, frame[read:min(read+partBytes, size)])
		if err != nil {
			return received{}, err
		}
		read += n
		memory.Progress(int64(n))
		c.markReceived()
	}
	return decodeWithin(frame, memory)
}

// decodeWithin decodes a frame if there is memory for its fields.
func decodeWithin(frame []byte, memory *usage.Holder) (received, error) {
	l, err := parseLayout(frame)
	if err != nil {
		return received{}, err
	}
	if err := memory.Take(l.decodedBytes(frame)); err != nil {
		return received{frame: parseStart(frame), refused: err}, nil
	}
	f, err := l.decode(frame)
	return received{frame: f, memory: memory}, err
}

// skip discards a frame for which there is no memory.
func (c *conn) skip(reader *bufio.Reader, size int, cause error) (received, error) {
	start, err := reader.Peek(readBuffer)
	if err != nil {
		return received{}, err
	}
	r := received{frame: parseStart(start), refused: cause}
	for left := size; left > 0; {
		n, err := reader.Discard(min(left, partBytes))
		if err != nil {
			return received{}, err
		}
		left -= n
		c.markReceived()
	}
	return r, nil
}

// refuseFrame answers a call that was skipped, which has not run, and fails the call whose
// answer was skipped. Other frames are sent again later.
func (c *conn) refuseFrame(f *peerv1.Frame, cause error) {
	switch {
	case f.Call != nil:
		refusal := teaseltack.Refuse(teaseltack.ReasonOverload, "host %s has no memory for the call: %v", c.links.cfg.Host, cause)
		refusal.RetryAfter = usage.RetryAfter
		c.sendAnswer(f.Number, refusedAnswer(f.Call, refusal))
	case f.Answer != nil:
		refusal := teaseltack.Uncertain(teaseltack.ReasonTooLarge, "no memory for the answer: %v", cause)
		c.failCall(f.Number, refusal)
	}
}

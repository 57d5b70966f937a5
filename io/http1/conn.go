package http1

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	"teaseltack"
	"teaseltack/core/usage"
	"teaseltack/io/head"
)

const (
	// readBuffer is the initial size of a connection's read buffer in bytes; it grows
	// for a longer head.
	readBuffer = 2048
	// maxPipelined bounds the pending requests of one connection.
	maxPipelined = 64
	// writeTimeout bounds one write, since a caller may have stopped reading.
	writeTimeout = 10 * time.Second
	// maxWrite is the largest part of an answer in bytes that is written at once, so that
	// a caller that reads slowly gets writeTimeout for each part.
	maxWrite = 64 << 10
)

// conn is one connection. The goroutine in serve reads requests and starts a
// goroutine for each. The goroutine that completes the oldest pending request writes
// its answer and the completed ones that follow, without holding mu: a caller may read
// slowly.
type conn struct {
	server *Server
	nc     net.Conn
	reader *head.Reader
	// slot is the connection's place among those of the server. memory is what it holds
	// beside its requests.
	slot, memory *usage.Holder
	ctx          context.Context
	cancel       context.CancelCauseFunc

	mu sync.Mutex
	// pending holds the requests without a complete answer in order of arrival. Those
	// whose answers are being written are still among them.
	pending        []*pendingRequest
	pendingChanged *sync.Cond
	// writing is set while a goroutine writes answers.
	writing bool
	// ended is set once the last answer is being written; requests read later are not
	// handled.
	ended bool
	// lingering is set once nothing more is sent: the write side is closed, and what the
	// caller still sends is discarded until it closes its side.
	lingering bool
	// evicted is set while the request that is being received has to make room for others.
	evicted bool
	// discarding is set once no more requests are received.
	discarding bool
	closed     bool
}

// pendingRequest is a request that was read and not answered yet.
type pendingRequest struct {
	request  *Request
	response *Response
	// close is set if the connection is to be closed after this answer.
	close  bool
	isHead bool
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, nc: nc}
	c.reader = head.NewReader(source{c}, readBuffer)
	c.slot = s.cfg.Connections.Enter(c.evictIdle)
	c.memory = s.cfg.Memory.Enter(c.evictIdle)
	c.pendingChanged = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	return c
}

// enter reports whether there is room for the connection.
func (c *conn) enter() bool {
	return c.slot.Take(1) == nil && c.memory.Take(usage.ConnectionBytes) == nil
}

// leave gives the connection's place and memory back.
func (c *conn) leave() {
	c.slot.Release()
	c.memory.Release()
}

// source reads from a connection and counts it as progress.
type source struct {
	conn *conn
}

// Read reads what the caller sends.
func (s source) Read(p []byte) (int, error) {
	n, err := s.conn.nc.Read(p)
	s.conn.slot.Progress(int64(n))
	s.conn.memory.Progress(int64(n))
	return n, err
}

func (c *conn) pendingCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// unansweredCount returns the number of pending requests that have no answer yet.
func (c *conn) unansweredCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	unanswered := 0
	for _, p := range c.pending {
		if p.response == nil {
			unanswered++
		}
	}
	return unanswered
}

func (c *conn) close() {
	c.mu.Lock()
	c.closed = true
	c.pendingChanged.Broadcast()
	c.mu.Unlock()
	c.cancel(nil)
	_ = c.nc.Close()
}

// closeIdle begins to linger unless there are pending requests, and returns their
// number.
func (c *conn) closeIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 {
		c.linger()
	}
	return len(c.pending)
}

func (c *conn) isLingering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lingering
}

// serve reads requests until the caller closes the connection.
func (c *conn) serve() {
	defer c.server.removeConn(c)
	defer c.leave()
	defer c.close()
	for {
		request, closing, err := c.read()
		var malformed *malformedError
		if errors.As(err, &malformed) {
			c.refuse(malformed)
			break
		}
		if err != nil {
			return
		}
		p := &pendingRequest{request: request, close: closing, isHead: request.Method == "HEAD"}
		if !c.enqueue(p) {
			request.Memory.Release()
			break
		}
		go c.run(p)
		if closing {
			break
		}
	}
	c.awaitClose()
}

// concurrent reports whether a request of the method may run while earlier requests
// of its connection are pending. Requests of all methods but the safe GET and HEAD wait
// until the earlier ones are answered.
func concurrent(method string) bool {
	return method == "GET" || method == "HEAD"
}

// awaitClose discards what the caller sends until the caller closes the connection
// or has lingered for too long.
func (c *conn) awaitClose() {
	c.mu.Lock()
	c.discarding, c.evicted = true, false
	c.mu.Unlock()
	c.reader = head.NewReader(source{c}, readBuffer)
	c.setReadDeadline(time.Time{})
	for {
		_, err := c.reader.Peek(1)
		if err != nil {
			return
		}
		if _, err := c.reader.Discard(c.reader.Buffered()); err != nil {
			return
		}
	}
}

// enqueue appends p to the pending requests and waits while they are too many. It
// returns false if the connection takes no more requests.
func (c *conn) enqueue(p *pendingRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) >= maxPipelined && !c.closed {
		c.pendingChanged.Wait()
	}
	if c.closed || c.ended {
		return false
	}
	c.pending = append(c.pending, p)
	c.slot.Complete()
	c.memory.Complete()
	return true
}

// awaitTurn waits until the requests before p are answered; nil stands for the next
// request to be read.
func (c *conn) awaitTurn(p *pendingRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) > 0 && c.pending[0] != p && !c.closed {
		c.pendingChanged.Wait()
	}
}

func (c *conn) run(p *pendingRequest) {
	if !concurrent(p.request.Method) {
		c.awaitTurn(p)
	}
	response := c.server.cfg.Handle(c.ctx, p.request)
	p.request.Memory.Release()
	c.mu.Lock()
	defer c.mu.Unlock()
	p.response = &response
	p.request = nil
	c.flush()
}

// flush writes the answers of the completed requests at the head of pending, unless
// another goroutine is writing; that one then writes these as well. The caller holds
// c.mu, which flush releases while it writes.
func (c *conn) flush() {
	for !c.writing && !c.ended && !c.closed {
		answers, count, last := c.nextAnswers()
		if count == 0 {
			return
		}
		c.writing, c.ended = true, last
		c.mu.Unlock()
		err := c.write(answers)
		c.mu.Lock()
		c.writing = false
		c.pending = c.pending[count:]
		c.afterWrite(last, err)
		if len(c.pending) == 0 {
			c.slot.Receive()
			c.memory.Receive()
		}
		c.pendingChanged.Broadcast()
	}
}

// nextAnswers encodes the answers of the completed requests at the head of pending and
// returns the number of these requests. last is set if the connection ends after them.
// The caller holds c.mu.
func (c *conn) nextAnswers() (answers []byte, count int, last bool) {
	var out bytes.Buffer
	for !last && count < len(c.pending) && c.pending[count].response != nil {
		p := c.pending[count]
		count++
		if p.response.Status == 0 {
			return out.Bytes(), count, true
		}
		last = p.close || c.server.closing.Load() && count == len(c.pending)
		appendResponse(&out, p, last)
	}
	return out.Bytes(), count, last
}

// afterWrite ends the connection after the last answer or an error. The caller holds
// c.mu.
func (c *conn) afterWrite(last bool, err error) {
	switch {
	case err != nil:
		c.closed = true
		c.cancel(nil)
		_ = c.nc.Close()
	case last:
		if len(c.pending) > 0 {
			c.pending = nil
			c.cancel(nil)
		}
		c.linger()
	case len(c.pending) == 0 && !c.evicted:
		_ = c.nc.SetReadDeadline(time.Now().Add(c.server.cfg.Limits().IdleTimeout))
	}
}

// write writes the answers in parts of up to maxWrite bytes.
func (c *conn) write(answers []byte) error {
	for len(answers) > 0 {
		part := answers[:min(len(answers), maxWrite)]
		_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.nc.Write(part); err != nil {
			return err
		}
		answers = answers[len(part):]
	}
	return nil
}

// lingerTimeout bounds the time for which a connection lingers. A caller may take as long
// to receive the last answer as a write may take.
const lingerTimeout = writeTimeout

// linger closes the write side and lets the reader discard what the caller still sends,
// until the caller closes its side or lingerTimeout has passed. Closing the connection
// while the caller sends would reset it, and what the caller has not received of its
// answers would be lost. The caller holds c.mu.
func (c *conn) linger() {
	if c.lingering || c.closed {
		return
	}
	c.ended, c.lingering = true, true
	if halfCloser, ok := c.nc.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// evict ends the request that is being received. Those that are pending are answered.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.discarding || c.lingering {
		return
	}
	c.evicted = true
	_ = c.nc.SetReadDeadline(time.Unix(1, 0))
}

// evictIdle closes the connection unless it has pending requests.
func (c *conn) evictIdle() {
	if c.pendingCount() == 0 {
		c.close()
	}
}

// endEviction reports whether the connection was evicted and lets it read again.
func (c *conn) endEviction() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	evicted := c.evicted
	c.evicted = false
	return evicted
}

// setReadDeadline sets the time from which reads fail, unless the connection lingers or
// was evicted.
func (c *conn) setReadDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lingering && !c.evicted {
		_ = c.nc.SetReadDeadline(deadline)
	}
}

// refuse answers a malformed request after the pending ones and ends the connection.
func (c *conn) refuse(malformed *malformedError) {
	if c.server.cfg.OnMalformed != nil {
		c.server.cfg.OnMalformed(malformed)
	}
	response := &Response{Status: malformed.status, Body: []byte(malformed.text + "\n")}
	if malformed.retryAfter > 0 {
		seconds := strconv.FormatFloat(malformed.retryAfter.Seconds(), 'f', 3, 64)
		response.Headers = []teaseltack.HeaderField{{Name: "Retry-After", Value: seconds}}
	}
	p := &pendingRequest{close: true, response: response}
	if !c.enqueue(p) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flush()
}

func appendResponse(out *bytes.Buffer, p *pendingRequest, closing bool) {
	r := p.response
	out.WriteString("HTTP/1.1 ")
	var number [20]byte
	out.Write(strconv.AppendInt(number[:0], int64(r.Status), 10))
	out.WriteByte(' ')
	out.WriteString(statusText(r.Status))
	out.WriteString("\r\n")
	for _, f := range r.Headers {
		out.WriteString(f.Name)
		out.WriteString(": ")
		out.WriteString(f.Value)
		out.WriteString("\r\n")
	}
	if closing {
		out.WriteString("Connection: close\r\n")
	}
	bodyless := r.Status == 204 || r.Status == 304
	if !bodyless && (!p.isHead || len(r.Body) > 0) {
		out.WriteString("Content-Length: ")
		out.Write(strconv.AppendInt(number[:0], int64(len(r.Body)), 10))
		out.WriteString("\r\n")
	}
	out.WriteString("\r\n")
	if !p.isHead && !bodyless {
		out.Write(r.Body)
	}
}

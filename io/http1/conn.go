package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"
)

const (
	// readBuffer is the first size of a connection's read buffer in bytes; a
	// longer head gets a larger one.
	readBuffer = 2048
	// maxAhead bounds the requests that a connection may have unanswered.
	maxAhead = 64
	// writeTime bounds one write to a caller that does not read.
	writeTime = 10 * time.Second
)

// conn is one connection. Its reader starts the requests; whoever completes the
// oldest unanswered one writes the answers that are due.
type conn struct {
	server *Server
	nc     net.Conn
	reader *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// turns are the unanswered requests in the order of their arrival.
	turns []*turn
	room  *sync.Cond
	// last is set once the connection closes after the turns it has.
	last   bool
	closed bool
}

// turn is one request's place in the order of answers.
type turn struct {
	request  *Request
	response *Response
	// close says that the caller or the server wants the connection closed after
	// this answer.
	close bool
	head  bool
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, nc: nc, reader: bufio.NewReaderSize(nc, readBuffer)}
	c.room = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

func (c *conn) waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.turns)
}

func (c *conn) close() {
	c.mu.Lock()
	c.closed = true
	c.room.Broadcast()
	c.mu.Unlock()
	c.cancel()
	_ = c.nc.Close()
}

// closeIdle closes the connection unless it has unanswered requests, and returns
// their number.
func (c *conn) closeIdle() int {
	c.mu.Lock()
	waiting := len(c.turns)
	if waiting == 0 {
		c.closed = true
	}
	c.mu.Unlock()
	if waiting == 0 {
		c.close()
	}
	return waiting
}

// serve reads requests until the caller closes the connection.
func (c *conn) serve() {
	defer c.server.forget(c)
	defer c.close()
	for {
		request, closing, err := c.read()
		if err != nil {
			c.refuse(err)
			return
		}
		t := &turn{request: request, close: closing, head: request.Method == "HEAD"}
		if !c.enter(t) {
			return
		}
		go c.run(t)
		if closing {
			c.watchClose()
			return
		}
	}
}

// concurrent reports whether a request of the method may run beside an earlier
// one of its connection.
func concurrent(method string) bool {
	return method == "GET" || method == "HEAD"
}

// watchClose waits until the last answer is written or the caller leaves.
func (c *conn) watchClose() {
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

func (c *conn) enter(t *turn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.turns) >= maxAhead && !c.closed {
		c.room.Wait()
	}
	if c.closed || c.last {
		return false
	}
	c.turns = append(c.turns, t)
	return true
}

// awaitFirst waits until the requests before t are answered.
func (c *conn) awaitFirst(t *turn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.turns) > 0 && c.turns[0] != t && !c.closed {
		c.room.Wait()
	}
}

func (c *conn) run(t *turn) {
	if !concurrent(t.request.Method) {
		c.awaitFirst(t)
	}
	response := c.server.cfg.Handle(c.ctx, t.request)
	c.mu.Lock()
	defer c.mu.Unlock()
	t.response = &response
	t.request = nil
	if len(c.turns) > 0 && c.turns[0] == t {
		c.flush()
	}
}

// flush writes the answers that are due. The lock keeps them in order.
func (c *conn) flush() {
	var out bytes.Buffer
	for len(c.turns) > 0 && c.turns[0].response != nil && !c.closed {
		t := c.turns[0]
		if t.response.Status == 0 {
			c.write(&out)
			c.closed = true
			_ = c.nc.Close()
			break
		}
		closing := t.close || c.server.closing.Load() && len(c.turns) == 1
		appendResponse(&out, t, closing)
		c.turns = c.turns[1:]
		if closing {
			c.last = true
			break
		}
	}
	c.write(&out)
	if c.last && !c.closed {
		c.closeGently()
	}
	if len(c.turns) == 0 && !c.closed {
		_ = c.nc.SetReadDeadline(time.Now().Add(c.server.cfg.Limits().IdleTimeout))
	}
	c.room.Broadcast()
}

func (c *conn) write(out *bytes.Buffer) {
	if out.Len() == 0 || c.closed {
		return
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTime))
	if _, err := c.nc.Write(out.Bytes()); err != nil {
		c.closed = true
		_ = c.nc.Close()
	}
	out.Reset()
}

// lingerTime is how long a connection stays half open after its last answer, so
// that bytes on their way do not reset it before the answer is read.
const lingerTime = 500 * time.Millisecond

// closeGently ends the own direction and leaves the reader until the caller has
// closed as well.
func (c *conn) closeGently() {
	if half, ok := c.nc.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
}

// refuse answers a request that could not be read, if the caller is still there
// and waits for nothing else.
func (c *conn) refuse(err error) {
	var bad *malformed
	if !errors.As(err, &bad) {
		return
	}
	if c.server.cfg.OnMalformed != nil {
		c.server.cfg.OnMalformed(err)
	}
	t := &turn{close: true, response: &Response{Status: bad.status, Body: []byte(bad.text + "\n")}}
	if !c.enter(t) {
		return
	}
	c.awaitFirst(t)
	c.mu.Lock()
	c.flush()
	c.mu.Unlock()
	c.watchClose()
}

func appendResponse(out *bytes.Buffer, t *turn, closing bool) {
	r := t.response
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
	if !bodyless && (!t.head || len(r.Body) > 0) {
		out.WriteString("Content-Length: ")
		out.Write(strconv.AppendInt(number[:0], int64(len(r.Body)), 10))
		out.WriteString("\r\n")
	}
	out.WriteString("\r\n")
	if !t.head && !bodyless {
		out.Write(r.Body)
	}
}

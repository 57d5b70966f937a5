package http1

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"teaseltack/core/usage"
	"teaseltack/io/body"
	"teaseltack/io/head"
)

// malformedError is the error of a request that is refused before it is handled,
// with the status and text of the answer.
type malformedError struct {
	status int
	text   string
	// retryAfter is sent to the caller if it is positive.
	retryAfter time.Duration
}

// Error returns the status and the text.
func (m *malformedError) Error() string {
	return fmt.Sprintf("%d: %s", m.status, m.text)
}

func newMalformed(status int, format string, args ...any) error {
	return &malformedError{status: status, text: fmt.Sprintf(format, args...)}
}

func statusText(status int) string {
	if text := http.StatusText(status); text != "" {
		return text
	}
	return "Status"
}

// read returns the next request and whether the caller asked to close the connection
// after it.
func (c *conn) read() (*Request, bool, error) {
	limits := c.server.cfg.Limits()
	if err := c.awaitRequest(limits.IdleTimeout); err != nil {
		return nil, false, err
	}
	c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
	memory := c.server.cfg.Memory.Enter(c.evict)
	// Until the request is answered, the connection makes no room by itself.
	c.memory.Complete()
	request, closing, err := c.readRequest(limits, memory)
	c.shrinkBuffer()
	if err != nil {
		memory.Release()
		return nil, false, c.asMalformed(err)
	}
	memory.Complete()
	request.Memory = memory
	c.setReadDeadline(time.Time{})
	return request, closing, nil
}

// awaitRequest waits for the first byte of a request. An eviction that came after the last
// request was complete has nothing to end.
func (c *conn) awaitRequest(idleTimeout time.Duration) error {
	for {
		if c.pendingCount() == 0 {
			c.setReadDeadline(time.Now().Add(idleTimeout))
		}
		if _, err := c.reader.Peek(1); err == nil || !c.endEviction() {
			return err
		}
		c.setReadDeadline(time.Time{})
	}
}

func (c *conn) readRequest(limits Limits, memory *usage.Holder) (*Request, bool, error) {
	grow := func(size int) error { return memory.Take(int64(size)) }
	// The buffer may have grown for the request before.
	if err := grow(c.reader.Size() - readBuffer); err != nil {
		return nil, false, err
	}
	requestHead, err := c.reader.PeekHead(limits.HeaderBytes+len("\r\n\r\n"), grow)
	if errors.Is(err, head.ErrTooLarge) {
		return nil, false, newMalformed(http.StatusRequestHeaderFieldsTooLarge, "the head has over %d bytes", limits.HeaderBytes)
	}
	if err != nil {
		return nil, false, headTimeout(err)
	}
	if err := memory.Take(usage.HeadBytes(len(requestHead), bytes.Count(requestHead, []byte("\n")))); err != nil {
		return nil, false, err
	}
	if err := checkHead(requestHead); err != nil {
		return nil, false, err
	}
	parsed, err := http.ReadRequest(c.reader.Reader)
	if err != nil {
		return nil, false, newMalformed(http.StatusBadRequest, "reading the request: %v", err)
	}
	request, err := c.readBody(parsed, limits, memory)
	return request, parsed.Close, err
}

// shrinkBuffer replaces a buffer that has grown once all of its bytes are read.
func (c *conn) shrinkBuffer() {
	if c.reader.Size() > readBuffer && c.reader.Buffered() == 0 {
		c.reader = head.NewReader(source{c}, readBuffer)
	}
}

// asMalformed turns the errors of a connection that was evicted, and those of the limiter,
// into the refusal of a request that has not run and may be sent again.
func (c *conn) asMalformed(err error) error {
	var malformed *malformedError
	switch {
	case c.endEviction():
		return &malformedError{status: http.StatusRequestTimeout, text: "the request stalled and made room for others", retryAfter: usage.RetryAfter}
	case errors.As(err, &malformed):
		return err
	case errors.Is(err, usage.ErrFull):
		return &malformedError{status: http.StatusServiceUnavailable, text: "too many requests are being received", retryAfter: usage.RetryAfter}
	case errors.Is(err, usage.ErrTooLarge), errors.Is(err, body.ErrTooLarge):
		return newMalformed(http.StatusRequestEntityTooLarge, "%v", err)
	}
	return err
}

// headTimeout turns a timeout into a malformedError; it returns other errors as they
// are.
func headTimeout(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return newMalformed(http.StatusRequestTimeout, "the head of the request was not received in time")
	}
	return err
}

// checkHead refuses heads that two parsers could interpret differently, which would
// allow request smuggling: the standard library accepts bare line feeds and silently
// ignores a Content-Length next to Transfer-Encoding: chunked.
func checkHead(requestHead []byte) error {
	lengths, hosts, chunked, first := 0, 0, false, true
	for line := range bytes.SplitSeq(requestHead, []byte("\n")) {
		if len(line) == 0 {
			continue
		}
		if line[len(line)-1] != '\r' || bytes.IndexByte(line[:len(line)-1], '\r') >= 0 {
			return newMalformed(http.StatusBadRequest, "a line of the head does not end with CR LF")
		}
		if first || len(line) == 1 {
			first = false
			continue
		}
		name, _, ok := head.Field(line[:len(line)-1])
		if !ok {
			return newMalformed(http.StatusBadRequest, "a line of the head is not a valid header field")
		}
		switch {
		case bytes.EqualFold(name, []byte("Host")):
			hosts++
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			chunked = true
		}
	}
	if hosts != 1 {
		return newMalformed(http.StatusBadRequest, "the request has %d Host headers, required is one", hosts)
	}
	if lengths > 1 || lengths > 0 && chunked {
		return newMalformed(http.StatusBadRequest, "the request gives the length of its body more than once")
	}
	return nil
}

func (c *conn) readBody(parsed *http.Request, limits Limits, memory *usage.Holder) (*Request, error) {
	request := &Request{
		Method: parsed.Method, Host: parsed.Host, URI: parsed.RequestURI, Path: parsed.URL.EscapedPath(),
		Header: parsed.Header,
	}
	if parsed.Body == http.NoBody {
		return request, nil
	}
	var source io.Reader = parsed.Body
	if parsed.Header.Get("Expect") != "" {
		source = &expectingReader{conn: c, source: source}
	}
	c.setReadDeadline(time.Now().Add(bodyTimeout))
	received, err := body.Receiver{Limit: limits.BodyBytes, Holder: memory}.Receive(source, parsed.ContentLength)
	if err != nil && parsed.ContentLength < 0 && !isOurs(err) {
		return nil, newMalformed(http.StatusBadRequest, "%v", err)
	}
	request.Body = received
	return request, err
}

// expectingReader asks the caller for the body at the first read.
type expectingReader struct {
	conn   *conn
	source io.Reader
	asked  bool
}

// Read reads a part of the body.
func (e *expectingReader) Read(p []byte) (int, error) {
	if !e.asked {
		e.asked = true
		e.conn.awaitTurn(nil)
		// After an error the caller sends no body, so that reading it fails.
		_, _ = io.WriteString(e.conn.nc, "HTTP/1.1 100 Continue\r\n\r\n")
		e.conn.setReadDeadline(time.Now().Add(bodyTimeout))
	}
	return e.source.Read(p)
}

// isOurs reports whether a body was not read because of a limit, rather than an error of
// its source.
func isOurs(err error) bool {
	return errors.Is(err, body.ErrTooLarge) || errors.Is(err, usage.ErrTooLarge) || errors.Is(err, usage.ErrFull)
}

// bodyTimeout bounds the time to receive a body.
const bodyTimeout = 60 * time.Second

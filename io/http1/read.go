package http1

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"teaseltack/io/head"
)

// malformedError is the error of a request that is refused before it is handled,
// with the status and text of the answer.
type malformedError struct {
	status int
	text   string
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
	if c.pendingCount() == 0 {
		c.setReadDeadline(time.Now().Add(limits.IdleTimeout))
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, false, err
	}
	c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
	requestHead, err := c.reader.PeekHead(limits.HeaderBytes+len("\r\n\r\n"), nil)
	if errors.Is(err, head.ErrTooLarge) {
		return nil, false, newMalformed(http.StatusRequestHeaderFieldsTooLarge, "the head has over %d bytes", limits.HeaderBytes)
	}
	if err != nil {
		return nil, false, asMalformed(err)
	}
	if err := checkHead(requestHead); err != nil {
		return nil, false, err
	}
	parsed, err := http.ReadRequest(c.reader.Reader)
	if err != nil {
		return nil, false, newMalformed(http.StatusBadRequest, "reading the request: %v", err)
	}
	request, err := c.readBody(parsed, limits)
	if err != nil {
		return nil, false, err
	}
	c.setReadDeadline(time.Time{})
	return request, parsed.Close, nil
}

// asMalformed turns a timeout into a malformedError; it returns other errors as they
// are.
func asMalformed(err error) error {
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

func (c *conn) readBody(parsed *http.Request, limits Limits) (*Request, error) {
	if parsed.ContentLength > limits.BodyBytes {
		return nil, newMalformed(http.StatusRequestEntityTooLarge, "the body has %d bytes, allowed are %d", parsed.ContentLength, limits.BodyBytes)
	}
	request := &Request{
		Method: parsed.Method, Host: parsed.Host, URI: parsed.RequestURI, Path: parsed.URL.EscapedPath(),
		Header: parsed.Header,
	}
	if parsed.Body == http.NoBody {
		return request, nil
	}
	if parsed.Header.Get("Expect") != "" {
		c.awaitTurn(nil)
		// After an error the caller sends no body, so that reading it fails.
		_, _ = io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	c.setReadDeadline(time.Now().Add(bodyTimeout))
	body, err := readLimited(parsed.Body, parsed.ContentLength, limits.BodyBytes)
	if err != nil {
		return nil, err
	}
	request.Body = body
	return request, nil
}

// bodyTimeout bounds the time to receive a body.
const bodyTimeout = 60 * time.Second

func readLimited(body io.Reader, length, limit int64) ([]byte, error) {
	if length >= 0 {
		buffer := make([]byte, length)
		if _, err := io.ReadFull(body, buffer); err != nil {
			return nil, fmt.Errorf("reading a body of %d bytes: %w", length, err)
		}
		return buffer, nil
	}
	buffer, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, newMalformed(http.StatusBadRequest, "reading the body: %v", err)
	}
	if int64(len(buffer)) > limit {
		return nil, newMalformed(http.StatusRequestEntityTooLarge, "the body has over %d bytes", limit)
	}
	return buffer, nil
}

package http1_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack/io/http1"
)

// largeBody fits the server's send buffer but not the client's receive buffer, so that
// the server has written the answer long before the client has received it.
var largeBody = bytes.Repeat([]byte("x"), 300_000)

// largeBuffers is a listener whose connections take a large answer in one write.
type largeBuffers struct {
	net.Listener
}

func (l largeBuffers) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		err = conn.(*net.TCPConn).SetWriteBuffer(4 * len(largeBody))
	}
	return conn, err
}

// serveLarge runs a server whose answers are largeBody, and returns a connection to it
// with a small receive buffer. answered receives a value when an answer is ready.
func serveLarge(t *testing.T) (s *http1.Server, conn net.Conn, answered chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	answered = make(chan struct{}, 10)
	s = http1.New(http1.Config{Listener: largeBuffers{listener}, Limits: limits, Handle: func(_ context.Context, r *http1.Request) http1.Response {
		defer func() { answered <- struct{}{} }()
		if r.URI == "/unanswered" {
			return http1.Response{}
		}
		return http1.Response{Status: http.StatusOK, Body: largeBody}
	}})
	go s.Serve()
	t.Cleanup(func() { s.Close() })
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
	}}
	conn, err = dialer.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return s, conn, answered
}

func nothing(*http1.Server) {}

// settle is long enough for the server to handle what it has received.
const settle = 100 * time.Millisecond

func assertWholeAnswer(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	assert.NilError(t, err, "the answer ended after %d bytes", n)
	assert.Equal(t, n, int64(len(largeBody)))
}

// Guards against an answer that is cut because the server closes the connection, and so
// resets it, while the caller still sends and has not received the whole answer.
func TestALastAnswerIsReceivedWholeWhileTheCallerStillSends(t *testing.T) {
	for _, c := range []struct {
		name string
		// first is sent at once, later once the server has ended the connection.
		first, later string
		// before runs before the first request is sent, after once it is answered.
		before, after func(*http1.Server)
	}{
		{"planned stop", get("/1"), get("/2"), (*http1.Server).DisableKeepAlives, nothing},
		{"close of idle connections", get("/1"), get("/2"), nothing, func(s *http1.Server) { s.CloseIdle() }},
		{"caller asks to close", "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", get("/2"), nothing, nothing},
		{"malformed request behind", get("/1"), "GET /2\r\n\r\n", nothing, nothing},
		{"request without an answer behind", get("/1") + get("/unanswered"), get("/2"), nothing, nothing},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, conn, answered := serveLarge(t)
			c.before(s)
			_, err := io.WriteString(conn, c.first)
			assert.NilError(t, err)
			<-answered
			time.Sleep(settle)
			c.after(s)
			for range 3 {
				_, _ = io.WriteString(conn, c.later)
				time.Sleep(settle)
			}
			assertWholeAnswer(t, bufio.NewReader(conn))
		})
	}
}

// Guards against a stopping daemon that exits, and so resets the connection, while a
// caller still receives its last answer.
func TestAConnectionCountsAsLingeringUntilTheCallerClosesIt(t *testing.T) {
	s, conn, answered := serveLarge(t)
	s.DisableKeepAlives()
	_, _ = io.WriteString(conn, get("/1"))
	<-answered
	time.Sleep(settle)
	assert.Equal(t, s.CloseIdle(), 0)
	assert.Equal(t, s.Lingering(), 1)
	assertWholeAnswer(t, bufio.NewReader(conn))
	_ = conn.Close()
	for end := time.Now().Add(testTimeout); s.Lingering() > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the connection still lingers")
	}
}

package http1_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack/io/http1"
)

// notHeldUp bounds what a slow reader must not hold up. It is below the time that a
// write may take.
const notHeldUp = 5 * time.Second

// serveSlowReader runs a server and returns a connection that gets an answer larger than
// all buffers and does not read it.
func serveSlowReader(t *testing.T) (*http1.Server, string, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	huge := bytes.Repeat([]byte("x"), 20<<20)
	answered := make(chan struct{}, 10)
	s := http1.New(http1.Config{Listener: listener, Limits: limits, Handle: func(ctx context.Context, r *http1.Request) http1.Response {
		if r.URI == "/huge" {
			defer func() { answered <- struct{}{} }()
			return http1.Response{Status: 200, Body: huge}
		}
		return echo(ctx, r)
	}})
	go s.Serve()
	t.Cleanup(func() { s.Close() })
	conn := dial(t, listener.Addr().String())
	_, err = io.WriteString(conn, get("/huge"))
	assert.NilError(t, err)
	<-answered
	time.Sleep(settle)
	return s, listener.Addr().String(), conn
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return conn
}

// assertSoon checks that do returns true, without waiting for the slow reader.
func assertSoon(t *testing.T, what string, do func() bool) {
	t.Helper()
	done := make(chan bool, 1)
	go func() { done <- do() }()
	select {
	case ok := <-done:
		assert.Assert(t, ok, what)
	case <-time.After(notHeldUp):
		t.Fatalf("%s waited for a slow reader", what)
	}
}

// Guards against one caller that reads slowly and holds up other callers, the shutdown or
// the accepting of connections.
func TestASlowReaderHoldsUpOnlyItsOwnConnection(t *testing.T) {
	t.Parallel()
	t.Run("shutdown", func(t *testing.T) {
		s, _, _ := serveSlowReader(t)
		assertSoon(t, "Pending", func() bool { return s.Pending() == 1 })
		assertSoon(t, "CloseIdle", func() bool { return s.CloseIdle() == 1 })
		assertSoon(t, "Lingering", func() bool { return s.Lingering() == 0 })
		assertSoon(t, "Close", func() bool { return s.Close() == 1 })
	})
	t.Run("other callers", func(t *testing.T) {
		s, address, _ := serveSlowReader(t)
		go s.Pending()
		time.Sleep(settle)
		conn := dial(t, address)
		assertSoon(t, "another connection", func() bool {
			_, _ = io.WriteString(conn, get("/1"))
			_, err := bufio.NewReader(conn).ReadString('\n')
			return err == nil
		})
	})
	t.Run("its own close", func(t *testing.T) {
		s, _, conn := serveSlowReader(t)
		_ = conn.Close()
		assertSoon(t, "the end of the connection", func() bool {
			for s.Pending() > 0 {
				time.Sleep(time.Millisecond)
			}
			return true
		})
	})
}

// Guards against an answer that is cut although its caller reads on: a write may take as
// long as it makes progress.
func TestASlowReaderGetsItsWholeAnswer(t *testing.T) {
	t.Parallel()
	_, _, conn := serveSlowReader(t)
	_ = conn.SetDeadline(time.Now().Add(6 * testTimeout))
	reader := bufio.NewReaderSize(conn, 1<<20)
	for range 12 {
		time.Sleep(time.Second)
		_, err := io.CopyN(io.Discard, reader, 1<<20)
		assert.NilError(t, err)
	}
	_, err := io.CopyN(io.Discard, reader, 8<<20)
	assert.NilError(t, err)
}

// Guards against an interim answer amid the answer to an earlier request.
func TestAnExpectedBodyIsAskedForAfterTheEarlierAnswers(t *testing.T) {
	release := make(chan struct{})
	_, conn := serve(t, func(ctx context.Context, r *http1.Request) http1.Response {
		if r.URI == "/1" {
			<-release
		}
		return echo(ctx, r)
	})
	_, _ = io.WriteString(conn, get("/1")+"PUT /2 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	time.Sleep(settle)
	close(release)
	reader := bufio.NewReader(conn)
	status, _ := readAnswer(t, reader)
	assert.Equal(t, status, 200)
	status, _ = readAnswer(t, reader)
	assert.Equal(t, status, 100)
	_, _ = io.WriteString(conn, "hi")
	_, body := readAnswer(t, reader)
	assert.Equal(t, body, "PUT /2 hi")
}

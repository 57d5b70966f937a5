package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack/core/usage"
	"teaseltack/io/clock"
	"teaseltack/io/http1"
)

const (
	// bodyLimit is the largest body that fits the memory beside others.
	bodyLimit = 64 << 10
	// largeMemory holds the largest body and its head, but not two of them.
	largeMemory = 3 * bodyLimit / 2
	// smallMemory is what is left for small requests.
	smallMemory = bodyLimit
)

// longLimits allow bodies that never fit.
func longLimits() http1.Limits {
	l := limits()
	l.BodyBytes = 2 * bodyLimit
	return l
}

// bounded is a server whose requests share a limited memory.
type bounded struct {
	memory  *usage.Limiter
	address string
}

// serveBounded runs a server in whose memory one body fits. Holders stall after the
// patience.
func serveBounded(t *testing.T, patience time.Duration, handle func(context.Context, *http1.Request) http1.Response) *bounded {
	t.Helper()
	return serveWithin(t, longLimits, handle, usage.Config{
		Timers: clock.Clock{}, Limit: largeMemory + smallMemory, Reserve: smallMemory, SmallAmount: bodyLimit / 4, Patience: patience, MinProgress: 1,
	})
}

func serveWithin(t *testing.T, limits func() http1.Limits, handle func(context.Context, *http1.Request) http1.Response, cfg usage.Config) *bounded {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	memory := usage.New(cfg)
	s := http1.New(http1.Config{Listener: listener, Handle: handle, Limits: limits, Memory: memory})
	go s.Serve()
	t.Cleanup(func() { s.Close() })
	return &bounded{memory: memory, address: listener.Addr().String()}
}

func (b *bounded) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", b.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return conn, bufio.NewReader(conn)
}

// awaitHeld waits until what the requests hold has reached what the test needs.
func (b *bounded) awaitHeld(t *testing.T, reached func(held int64) bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !reached(b.memory.Held()); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the requests hold %d bytes", b.memory.Held())
	}
}

func isLarge(held int64) bool { return held >= bodyLimit+usage.ConnectionBytes }

// isOpen returns whether what is held is only the given number of connections.
func isOpen(connections int64) func(held int64) bool {
	return func(held int64) bool { return held == connections*usage.ConnectionBytes }
}

func put(size int) string {
	return fmt.Sprintf("PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size)
}

func send(t *testing.T, w io.Writer, text string) {
	t.Helper()
	_, err := io.WriteString(w, text)
	assert.NilError(t, err)
}

func checkStatus(t *testing.T, r *bufio.Reader, want int) http.Header {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, want)
	return response.Header
}

func TestRequestsShareTheMemory(t *testing.T) {
	full := strings.Repeat("x", bodyLimit)
	t.Run("one is refused before its body is read", func(t *testing.T) {
		b := serveBounded(t, time.Hour, echo)
		first, firstAnswers := b.dial(t)
		send(t, first, put(bodyLimit)+full[1:])
		b.awaitHeld(t, isLarge)
		second, secondAnswers := b.dial(t)
		send(t, second, put(bodyLimit))
		refused := checkStatus(t, secondAnswers, http.StatusServiceUnavailable)
		assert.Assert(t, refused.Get("Retry-After") != "")
		_, err := secondAnswers.ReadByte()
		assert.ErrorIs(t, err, io.EOF)
		third, thirdAnswers := b.dial(t)
		send(t, third, put(1)+"x")
		checkStatus(t, thirdAnswers, http.StatusOK)
		send(t, first, "x")
		checkStatus(t, firstAnswers, http.StatusOK)
		// The server waits for the caller that it refused to close its connection.
		b.awaitHeld(t, isOpen(3))
	})
	t.Run("chunks count as they arrive", func(t *testing.T) {
		b := serveBounded(t, time.Hour, echo)
		first, _ := b.dial(t)
		send(t, first, put(bodyLimit))
		b.awaitHeld(t, isLarge)
		second, secondAnswers := b.dial(t)
		send(t, second, fmt.Sprintf("PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", bodyLimit-1, full[1:]))
		checkStatus(t, secondAnswers, http.StatusServiceUnavailable)
	})
	t.Run("one that waits for its answer holds its body", func(t *testing.T) {
		release := make(chan struct{})
		b := serveBounded(t, 0, func(ctx context.Context, r *http1.Request) http1.Response {
			<-release
			return echo(ctx, r)
		})
		first, firstAnswers := b.dial(t)
		send(t, first, put(bodyLimit)+full)
		b.awaitHeld(t, isLarge)
		second, secondAnswers := b.dial(t)
		send(t, second, put(bodyLimit))
		checkStatus(t, secondAnswers, http.StatusServiceUnavailable)
		close(release)
		checkStatus(t, firstAnswers, http.StatusOK)
		b.awaitHeld(t, isOpen(2))
	})
	t.Run("one whose caller leaves gives its memory back", func(t *testing.T) {
		b := serveBounded(t, time.Hour, echo)
		first, _ := b.dial(t)
		send(t, first, put(bodyLimit))
		b.awaitHeld(t, isLarge)
		_ = first.Close()
		b.awaitHeld(t, isOpen(0))
	})
	t.Run("one that never fits is told so", func(t *testing.T) {
		b := serveBounded(t, time.Hour, echo)
		conn, answers := b.dial(t)
		send(t, conn, put(largeMemory))
		checkStatus(t, answers, http.StatusRequestEntityTooLarge)
	})
}

func TestARequestThatStallsMakesRoom(t *testing.T) {
	full := strings.Repeat("x", bodyLimit)
	t.Run("and is told that it has not run", func(t *testing.T) {
		b := serveBounded(t, 0, echo)
		stalled, stalledAnswers := b.dial(t)
		send(t, stalled, put(bodyLimit)+full[1:])
		b.awaitHeld(t, isLarge)
		other, otherAnswers := b.dial(t)
		send(t, other, put(bodyLimit)+full)
		checkStatus(t, otherAnswers, http.StatusOK)
		checkStatus(t, stalledAnswers, http.StatusRequestTimeout)
	})
	t.Run("after the answers to the requests before it", func(t *testing.T) {
		release := make(chan struct{})
		b := serveBounded(t, 0, func(ctx context.Context, r *http1.Request) http1.Response {
			if r.Method == http.MethodGet {
				<-release
			}
			return echo(ctx, r)
		})
		stalled, stalledAnswers := b.dial(t)
		send(t, stalled, get("/")+put(bodyLimit)+full[1:])
		b.awaitHeld(t, isLarge)
		other, otherAnswers := b.dial(t)
		send(t, other, put(bodyLimit)+full)
		checkStatus(t, otherAnswers, http.StatusOK)
		close(release)
		checkStatus(t, stalledAnswers, http.StatusOK)
		checkStatus(t, stalledAnswers, http.StatusRequestTimeout)
	})
	t.Run("also within its head", func(t *testing.T) {
		const headLimit, memory, crowd = 8 << 10, 4 * bodyLimit, 20
		longHeads := func() http1.Limits {
			l := longLimits()
			l.HeaderBytes = headLimit
			return l
		}
		b := serveWithin(t, longHeads, echo, usage.Config{Timers: clock.Clock{}, Limit: memory, MinProgress: 1})
		for range crowd {
			conn, _ := b.dial(t)
			before := b.memory.Held()
			send(t, conn, "GET / HTTP/1.1\r\nHost: a\r\nX-Long: "+strings.Repeat("x", headLimit/2))
			if before <= memory/4 {
				b.awaitHeld(t, func(held int64) bool { return held > before })
			}
		}
		conn, answers := b.dial(t)
		send(t, conn, put(bodyLimit)+full)
		checkStatus(t, answers, http.StatusOK)
	})
}

// Guards against connections that send nothing and keep others out, and against ends of
// connections whose requests are in progress.
func TestConnectionsShareTheLimit(t *testing.T) {
	const limit = 4
	listen := func(t *testing.T, patience time.Duration, handle func(context.Context, *http1.Request) http1.Response) *bounded {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		connections := usage.New(usage.Config{Timers: clock.Clock{}, Limit: limit, Patience: patience, MinProgress: 1})
		s := http1.New(http1.Config{Listener: listener, Handle: handle, Limits: limits, Connections: connections})
		go s.Serve()
		t.Cleanup(func() { s.Close() })
		return &bounded{memory: connections, address: listener.Addr().String()}
	}
	t.Run("those that stall make room", func(t *testing.T) {
		started, release := make(chan struct{}), make(chan struct{})
		b := listen(t, 0, func(ctx context.Context, r *http1.Request) http1.Response {
			if r.URI == "/slow" {
				close(started)
				<-release
			}
			return echo(ctx, r)
		})
		slow, slowAnswers := b.dial(t)
		send(t, slow, get("/slow"))
		<-started
		for range 3 * limit {
			conn, _ := b.dial(t)
			send(t, conn, "GET /")
		}
		conn, answers := b.dial(t)
		send(t, conn, get("/"))
		checkStatus(t, answers, http.StatusOK)
		close(release)
		checkStatus(t, slowAnswers, http.StatusOK)
	})
	t.Run("others are closed", func(t *testing.T) {
		b := listen(t, time.Hour, echo)
		for range limit {
			conn, answers := b.dial(t)
			send(t, conn, get("/"))
			checkStatus(t, answers, http.StatusOK)
		}
		refused, answers := b.dial(t)
		_, err := answers.ReadByte()
		assert.Assert(t, err != nil)
		_ = refused.Close()
	})
}

package pool_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/io/clock"
	"teaseltack/io/pool"
)

const (
	idHeader    = "X-Id"
	testTimeout = 10 * time.Second
)

// server is a backend server whose answers the function reply writes. It closes a
// connection when reply returns false.
type server struct {
	listener    net.Listener
	connections atomic.Int64
	requests    atomic.Int64
}

func newServer(t testing.TB, reply func(requestNumber int64, r *http.Request, conn net.Conn) bool) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &server{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if !reply(s.requests.Add(1), r, conn) {
						return
					}
				}
			}()
		}
	}()
	return s
}

func completeAnswer(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func request(id string, nonIdempotent bool) *pool.Request {
	return &pool.Request{
		Method: "GET", Head: []byte("GET / HTTP/1.1\r\nHost: a\r\n" + idHeader + ": " + id + "\r\n\r\n"), NonIdempotent: nonIdempotent,
		Check: func(_ int, h http.Header) pool.Match {
			switch h.Get(idHeader) {
			case id:
				return pool.Own
			case "":
				return pool.Broken
			}
			return pool.Foreign
		},
	}
}

func newPool(s *server) *pool.Pool {
	p := pool.New(pool.Config{Timers: clock.Clock{}, MaxAnswerBytes: 1000})
	p.SetAddress(s.listener.Addr().String())
	return p
}

func do(t *testing.T, p *pool.Pool, id string) (*pool.Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	return p.Do(ctx, request(id, false))
}

func assertVerdict(t *testing.T, err error, want teaseltack.Verdict) {
	t.Helper()
	var refusal *teaseltack.Refusal
	assert.Assert(t, errors.As(err, &refusal), "%v", err)
	assert.Equal(t, refusal.Verdict, want)
}

func TestAConnectionIsUsedAgain(t *testing.T) {
	s := newServer(t, func(_ int64, r *http.Request, conn net.Conn) bool {
		_, err := conn.Write([]byte(completeAnswer(r.Header.Get(idHeader), "ok")))
		return err == nil
	})
	p := newPool(s)
	for _, id := range []string{"a", "b", "c"} {
		response, err := do(t, p, id)
		assert.NilError(t, err)
		assert.Equal(t, string(response.Body), "ok")
	}
	assert.Equal(t, s.connections.Load(), int64(1))
}

func TestALateSecondAnswerIsPassedOver(t *testing.T) {
	s := newServer(t, func(number int64, r *http.Request, conn net.Conn) bool {
		id := r.Header.Get(idHeader)
		text := completeAnswer(id, "own")
		if number == 2 {
			text = completeAnswer("first", "old") + text
		}
		_, err := conn.Write([]byte(text))
		return err == nil
	})
	p := newPool(s)
	_, err := do(t, p, "first")
	assert.NilError(t, err)
	response, err := do(t, p, "second")
	assert.NilError(t, err)
	assert.Equal(t, string(response.Body), "own")
	_, err = do(t, p, "third")
	assert.NilError(t, err)
	assert.Equal(t, s.connections.Load(), int64(2))
}

func TestExtraBytesEndTheConnection(t *testing.T) {
	s := newServer(t, func(_ int64, r *http.Request, conn net.Conn) bool {
		id := r.Header.Get(idHeader)
		_, err := conn.Write([]byte(completeAnswer(id, "own") + completeAnswer(id, "new")))
		return err == nil
	})
	p := newPool(s)
	for _, id := range []string{"a", "b"} {
		response, err := do(t, p, id)
		assert.NilError(t, err)
		assert.Equal(t, string(response.Body), "own")
	}
	assert.Equal(t, s.connections.Load(), int64(2))
}

func TestBrokenAnswersMayHaveRunAndAreNeverSentAgain(t *testing.T) {
	for name, response := range map[string]string{
		"empty":        "",
		"not HTTP":     "\x00\x01garbage\r\n\r\n",
		"cut body":     "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nContent-Length: 9\r\n\r\nshort",
		"cut head":     "HTTP/1.1 200 OK\r\nCont",
		"no id":        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"foreign only": completeAnswer("other", "x"),
		"too large":    "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000),
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
				_, _ = conn.Write([]byte(response))
				return false
			})
			_, err := do(t, newPool(s), "a")
			assertVerdict(t, err, teaseltack.MayHaveRun)
			assert.Equal(t, s.requests.Load(), int64(1))
		})
	}
}

func TestAKeptConnectionThatTheServerClosedIsNotUsed(t *testing.T) {
	closed := make(chan struct{}, 2)
	s := newServer(t, func(_ int64, r *http.Request, conn net.Conn) bool {
		_, _ = conn.Write([]byte(completeAnswer(r.Header.Get(idHeader), "ok")))
		_ = conn.Close()
		closed <- struct{}{}
		return false
	})
	p := newPool(s)
	_, err := do(t, p, "a")
	assert.NilError(t, err)
	<-closed
	time.Sleep(20 * time.Millisecond) // Lets the kernel deliver the FIN on the loopback connection.
	_, err = do(t, p, "b")
	assert.NilError(t, err)
}

func TestARefusedConnectionHasNotRun(t *testing.T) {
	s := newServer(t, nil)
	_ = s.listener.Close()
	_, err := do(t, newPool(s), "a")
	assertVerdict(t, err, teaseltack.NotRun)
}

func TestTheEndOfTheContextEndsTheRequest(t *testing.T) {
	received := make(chan struct{})
	s := newServer(t, func(int64, *http.Request, net.Conn) bool {
		close(received)
		return true
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-received
		cancel()
	}()
	_, err := newPool(s).Do(ctx, request("a", true))
	assertVerdict(t, err, teaseltack.MayHaveRun)
}

package invoke_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/io/clock"
	"teaseltack/io/invoke"
)

// rawServer calls answer for each request on a connection. It closes the connection
// if answer returns false.
func rawServer(t *testing.T, answer func(conn net.Conn, r *http.Request) bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, answer)
		}
	}()
	return listener.Addr().String()
}

func serveRaw(conn net.Conn, answer func(net.Conn, *http.Request) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !answer(conn, request) {
			return
		}
	}
}

func newInvoker(address string) *invoke.Invoker {
	i := invoke.New(invoke.Config{Timers: clock.Clock{}, Log: hclog.NewNullLogger(), MaxAnswerBytes: 100, MaxReadingBytes: 100})
	i.SetAddress(address)
	return i
}

func dispatch(p *invoke.Invoker, verb, key string, lifetime time.Duration) error {
	call := &teaseltack.Call{ID: "a", Nonce: "n", Target: teaseltack.Target{Service: "s", Method: "m"}, Deadline: time.Now().Add(lifetime)}
	call.Payload.Verb = verb
	if key != "" {
		call.Payload.Headers = []teaseltack.HeaderField{{Name: "Idempotency-Key", Value: key}}
	}
	ctx, cancel := context.WithTimeout(context.Background(), lifetime)
	defer cancel()
	_, err := p.Dispatch(ctx, call, "token")
	return err
}

// okAnswer returns a complete answer that names its request.
func okAnswer(r *http.Request) []byte {
	return []byte("HTTP/1.1 200 OK\r\nTeaseltack-Call-Id: " + r.Header.Get("Teaseltack-Call-Id") + "\r\nContent-Length: 2\r\n\r\nok")
}

// Guards against uncounted attempts: net/http repeats a GET, and a POST with an
// Idempotency-Key, by itself when a reused connection breaks.
func TestTheLibraryDoesNotRetryByItself(t *testing.T) {
	for name, test := range map[string]struct{ verb, key string }{
		"GET":           {http.MethodGet, ""},
		"POST with key": {http.MethodPost, "key"},
	} {
		t.Run(name, func(t *testing.T) {
			var seen atomic.Int32
			var first net.Conn
			address := rawServer(t, func(conn net.Conn, r *http.Request) bool {
				if seen.Add(1) == 2 {
					assert.Check(t, conn == first, "the connection was not used again")
					return false
				}
				first = conn
				_, err := conn.Write(okAnswer(r))
				return err == nil
			})
			p := newInvoker(address)
			err := dispatch(p, test.verb, test.key, 5*time.Second)
			assert.NilError(t, err)
			err = dispatch(p, test.verb, test.key, 5*time.Second)
			assert.Equal(t, teaseltack.AsRefusal(err).Verdict, teaseltack.MayHaveRun)
			assert.Equal(t, seen.Load(), int32(2), "the request was not sent exactly once more: %v", err)
		})
	}
}

// Guards against a wrong verdict on a failed request: not-run is allowed only if the
// connection was refused, and ran only if the answer shows that the call ran.
func TestVerdictsOfBrokenAnswers(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	serve := func(text string) string {
		return rawServer(t, func(conn net.Conn, _ *http.Request) bool {
			_, _ = conn.Write([]byte(text))
			return false
		})
	}
	tests := map[string]struct {
		address string
		verdict teaseltack.Verdict
		reason  teaseltack.Reason
	}{
		"connection refused": {closed.Addr().String(), teaseltack.NotRun, teaseltack.ReasonServer},
		"closed unanswered":  {serve(""), teaseltack.MayHaveRun, teaseltack.ReasonAnswerCut},
		"cut in the headers": {serve("HTTP/1.1 200 OK\r\nContent-Le"), teaseltack.MayHaveRun, teaseltack.ReasonAnswerCut},
		"cut in the body":    {serve("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhal"), teaseltack.MayHaveRun, teaseltack.ReasonAnswerCut},
		"cut in a chunk":     {serve("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"), teaseltack.MayHaveRun, teaseltack.ReasonAnswerCut},
		"no length":          {serve("HTTP/1.1 200 OK\r\n\r\nhal"), teaseltack.MayHaveRun, teaseltack.ReasonAnswerCut},
		"too large":          {serve("HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + string(make([]byte, 101))), teaseltack.Ran, teaseltack.ReasonTooLarge},
	}
	// Closed only now, the port is none of the others.
	assert.NilError(t, closed.Close())
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			err := dispatch(newInvoker(test.address), http.MethodPost, "", 5*time.Second)
			refusal := teaseltack.AsRefusal(err)
			assert.Equal(t, refusal.Verdict, test.verdict)
			assert.Equal(t, refusal.Reason, test.reason)
		})
	}
}

// Guards against further calls on a reused connection that the server no longer
// answers. One call times out; the next has to succeed on a new connection.
func TestSilentConnectionCostsOneCall(t *testing.T) {
	var requests atomic.Int32
	address := rawServer(t, func(conn net.Conn, r *http.Request) bool {
		if requests.Add(1) == 2 {
			return true
		}
		_, err := conn.Write(okAnswer(r))
		return err == nil
	})
	p := newInvoker(address)
	err := dispatch(p, http.MethodPost, "", 5*time.Second)
	assert.NilError(t, err)
	err = dispatch(p, http.MethodPost, "", 100*time.Millisecond)
	assert.Equal(t, teaseltack.AsRefusal(err).Verdict, teaseltack.MayHaveRun)
	err = dispatch(p, http.MethodPost, "", 5*time.Second)
	assert.NilError(t, err)
}

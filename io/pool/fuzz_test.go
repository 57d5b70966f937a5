package pool_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"golang.org/x/net/http/httpguts"
	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/core/usage"
	"teaseltack/io/clock"
	"teaseltack/io/pool"
)

// FuzzAnswer lets a server answer with arbitrary bytes and then close the connection. A
// result must be what the standard library reads from the same bytes as the request's
// own answer, with a status and header fields only, and any other outcome may have run.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(completeAnswer("a", "own")))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + completeAnswer("b", "old") + completeAnswer("a", "own")))
	f.Add([]byte("HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nT: 1\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\n" + idHeader + ": a\n\nto the end"))
	f.Add([]byte("HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nContent-Length : 4\r\nX Odd: 1\r\n\r\ndone"))
	f.Add([]byte("HTTP/1.1 000 Zero\r\n" + idHeader + ": a\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 204 No Content\r\n" + idHeader + ": a\r\n\r\n"))
	// A listener for each input would use up the ports: they stay in use for a minute.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f, err)
	f.Cleanup(func() { _ = listener.Close() })
	f.Fuzz(func(t *testing.T, sent []byte) {
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = conn.Write(sent)
			}
		}()
		p := pool.New(pool.Config{Timers: clock.Clock{}, MaxAnswerBytes: 1 << 20, Reading: usage.New(usage.Answers(clock.Clock{}, 1<<20))})
		p.SetAddress(listener.Addr().String())
		response, err := do(t, p, "a")
		if err != nil {
			if teaseltack.AsRefusal(err).Verdict != teaseltack.MayHaveRun {
				t.Fatalf("%q: %v", sent, err)
			}
			return
		}
		status, body := ownAnswer(sent)
		if response.Status != status || !bytes.Equal(response.Body, body) {
			t.Fatalf("%q gave %d %q", sent, response.Status, response.Body)
		}
		if status < teaseltack.MinStatus || status > teaseltack.MaxStatus {
			t.Fatalf("%q gave the status %d", sent, status)
		}
		for name := range response.Header {
			if !httpguts.ValidHeaderFieldName(name) {
				t.Fatalf("%q gave the header field %q", sent, name)
			}
		}
	})
}

// ownAnswer returns the status and the body of the first answer with the id "a", as the
// standard library reads it; status 0 means that there is none.
func ownAnswer(sent []byte) (status int, body []byte) {
	reader := bufio.NewReader(bytes.NewReader(sent))
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
		if err != nil {
			return 0, nil
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return 0, nil
		}
		if response.Header.Get(idHeader) == "a" {
			return response.StatusCode, body
		}
	}
}

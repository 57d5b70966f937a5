package http1_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack/io/http1"
)

// testTimeout bounds every wait of these tests; no test measures time.
const testTimeout = 10 * time.Second

func limits() http1.Limits {
	return http1.Limits{HeaderBytes: 1024, BodyBytes: 4096, HeaderTimeout: testTimeout, IdleTimeout: testTimeout}
}

// serve runs a server on loopback and returns a connection to it.
func serve(t *testing.T, handle func(context.Context, *http1.Request) http1.Response) (*http1.Server, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := http1.New(http1.Config{Listener: listener, Handle: handle, Limits: limits})
	go s.Serve()
	t.Cleanup(func() { s.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return s, conn
}

func echo(_ context.Context, r *http1.Request) http1.Response {
	return http1.Response{Status: 200, Body: []byte(r.Method + " " + r.URI + " " + string(r.Body))}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// readAnswer reads one answer and returns its status and body.
func readAnswer(t *testing.T, r *bufio.Reader) (int, string) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(body)
}

func TestPipelinedRequestsRunAtOnceAndAreAnsweredInOrder(t *testing.T) {
	second := make(chan struct{})
	_, conn := serve(t, func(ctx context.Context, r *http1.Request) http1.Response {
		if r.URI == "/1" {
			<-second
		} else {
			close(second)
		}
		return echo(ctx, r)
	})
	_, _ = io.WriteString(conn, get("/1")+get("/2"))
	reader := bufio.NewReader(conn)
	for _, want := range []string{"GET /1 ", "GET /2 "} {
		_, body := readAnswer(t, reader)
		assert.Equal(t, body, want)
	}
}

func TestARequestWithABodyWaitsForThoseBefore(t *testing.T) {
	var order []string
	_, conn := serve(t, func(ctx context.Context, r *http1.Request) http1.Response {
		order = append(order, r.URI)
		return echo(ctx, r)
	})
	_, _ = io.WriteString(conn, get("/1")+"POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx")
	reader := bufio.NewReader(conn)
	readAnswer(t, reader)
	_, body := readAnswer(t, reader)
	assert.Equal(t, body, "POST /2 x")
	assert.DeepEqual(t, order, []string{"/1", "/2"})
}

func TestACallerThatLeavesCancelsAllItsRequests(t *testing.T) {
	started, ended := make(chan struct{}, 2), make(chan struct{}, 2)
	_, conn := serve(t, func(ctx context.Context, _ *http1.Request) http1.Response {
		started <- struct{}{}
		<-ctx.Done()
		ended <- struct{}{}
		return http1.Response{Status: 200}
	})
	_, _ = io.WriteString(conn, get("/1")+get("/2"))
	<-started
	<-started
	_ = conn.Close()
	<-ended
	<-ended
}

func TestChunkedAndExpectedBodiesAreRead(t *testing.T) {
	_, conn := serve(t, echo)
	_, _ = io.WriteString(conn, "PUT /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	reader := bufio.NewReader(conn)
	_, body := readAnswer(t, reader)
	assert.Equal(t, body, "PUT /c abc")
	_, _ = io.WriteString(conn, "PUT /e HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	status, _ := readAnswer(t, reader)
	assert.Equal(t, status, 100)
	_, _ = io.WriteString(conn, "hi")
	_, body = readAnswer(t, reader)
	assert.Equal(t, body, "PUT /e hi")
}

func TestMalformedRequestsAreRefusedAndNeverHandled(t *testing.T) {
	long := strings.Repeat("x", 2000)
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"two lengths":          {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx", 400},
		"length and chunks":    {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"unknown encoding":     {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n", 400},
		"bare line feed":       {"GET / HTTP/1.1\r\nHost: a\nX: y\r\n\r\n", 400},
		"bare carriage return": {"GET / HTTP/1.1\r\nHost: a\r\nX: y\rZ: q\r\n\r\n", 400},
		"no version":           {"GET /\r\nHost: a\r\n\r\n", 400},
		"space before colon":   {"GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400},
		"negative length":      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", 400},
		"head too large":       {"GET / HTTP/1.1\r\nHost: a\r\nX: " + long + "\r\n\r\n", 431},
		"body too large":       {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n", 413},
		"chunks too large":     {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n" + strings.Repeat("y", 5000) + "\r\n0\r\n\r\n", 413},
		"not HTTP":             {"\x16\x03\x01\x00\r\n\r\n", 400},
	} {
		t.Run(name, func(t *testing.T) {
			_, conn := serve(t, func(context.Context, *http1.Request) http1.Response {
				t.Error("the request was handled")
				return http1.Response{Status: 200}
			})
			_, _ = io.WriteString(conn, c.text)
			reader := bufio.NewReader(conn)
			status, _ := readAnswer(t, reader)
			assert.Equal(t, status, c.status)
			_, err := reader.ReadByte()
			assert.Assert(t, err != nil, "the connection is still open")
		})
	}
}

func TestAStoppingServerAnswersAndTellsCallersToClose(t *testing.T) {
	s, conn := serve(t, echo)
	reader := bufio.NewReader(conn)
	_, _ = io.WriteString(conn, get("/1"))
	readAnswer(t, reader)
	s.DisableKeepAlives()
	_, _ = io.WriteString(conn, get("/2"))
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Assert(t, response.Close)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	_, err = reader.ReadByte()
	assert.Equal(t, err, io.EOF)
}

// FuzzRead sends arbitrary bytes. The server must handle only requests that the
// standard library parses from the same bytes with the same method, URI and body;
// anything else would allow request smuggling.
func FuzzRead(f *testing.F) {
	f.Add([]byte(get("/1") + get("/2")))
	f.Add([]byte("POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc" + get("/3")))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		serverConn, clientConn := net.Pipe()
		listener := &oneConn{conn: serverConn, done: make(chan struct{})}
		handled := make(chan string, 100)
		s := http1.New(http1.Config{Listener: listener, Limits: limits, Handle: func(ctx context.Context, r *http1.Request) http1.Response {
			handled <- fmt.Sprintf("%s %s %q", r.Method, r.URI, r.Body)
			return echo(ctx, r)
		}})
		go s.Serve()
		go func() {
			_, _ = clientConn.Write(sent)
			_ = clientConn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		}()
		got, _ := io.ReadAll(clientConn)
		_ = clientConn.Close()
		s.Close()
		answers := bufio.NewReader(bytes.NewReader(got))
		answered := 0
		for {
			if _, err := answers.Peek(1); err != nil {
				break
			}
			response, err := http.ReadResponse(answers, nil)
			if err != nil {
				t.Fatalf("%q is no answer: %v", got, err)
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				t.Fatalf("%q is no complete answer: %v", got, err)
			}
			_ = response.Body.Close()
			answered++
		}
		expected := map[string]bool{}
		reader := bufio.NewReader(bytes.NewReader(sent))
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				break
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				break
			}
			expected[fmt.Sprintf("%s %s %q", r.Method, r.RequestURI, body)] = true
		}
		const refusals = 1 // A malformed request is answered without being handled.
		if continued := bytes.Count(got, []byte("HTTP/1.1 100 ")); answered > len(handled)+refusals+continued {
			t.Fatalf("%d answers to %d requests: %q", answered, len(handled), got)
		}
		for len(handled) > 0 {
			if h := <-handled; !expected[h] {
				t.Fatalf("handled %s, which was not sent", h)
			}
		}
	})
}

// oneConn is a listener that accepts one connection.
type oneConn struct {
	conn     net.Conn
	accepted bool
	done     chan struct{}
}

func (l *oneConn) Accept() (net.Conn, error) {
	if !l.accepted {
		l.accepted = true
		return l.conn, nil
	}
	<-l.done
	return nil, net.ErrClosed
}

func (l *oneConn) Close() error {
	select {
	case <-l.done:
	default:
		close(l.done)
	}
	return nil
}

func (l *oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// TestClosingIdleConnectionsCutsNoRequest calls CloseIdle while a request arrives.
// Closing the connection after the request was read would lose the answer of a request
// that was handled.
func TestClosingIdleConnectionsCutsNoRequest(t *testing.T) {
	for range 50 {
		handled := make(chan struct{}, 1)
		s, conn := serve(t, func(ctx context.Context, r *http1.Request) http1.Response {
			handled <- struct{}{}
			return echo(ctx, r)
		})
		go func() { _, _ = io.WriteString(conn, get("/1")) }()
		for s.CloseIdle() > 0 {
			time.Sleep(time.Microsecond)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_ = response.Body.Close()
			continue
		}
		select {
		case <-handled:
			t.Fatal("a handled request got no answer")
		default:
		}
	}
}

package httpd_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack/core/usage"
	"teaseltack/io/body"
	"teaseltack/io/clock"
	"teaseltack/io/httpd"
)

// testTimeout bounds every wait of these tests; no test measures time.
const testTimeout = 10 * time.Second

const (
	bodyBytes = 512 << 10
	// memoryBytes holds one body and the heads of some requests.
	memoryBytes = 2*bodyBytes - 1
)

// serve runs a server that returns the size of a request's body.
func serve(t *testing.T, patience time.Duration) (string, *usage.Limiter) {
	t.Helper()
	memory := usage.New(usage.Config{Timers: clock.Clock{}, Limit: memoryBytes, Patience: patience, MinProgress: 1})
	server, err := httpd.Listen(httpd.Config{Name: "listener", Address: "127.0.0.1:0", Memory: memory})
	assert.NilError(t, err)
	server.Handle(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received, err := body.Receiver{Limit: bodyBytes, Holder: usage.FromContext(r.Context())}.Receive(r.Body, r.ContentLength)
		if err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprint(w, len(received))
	}))
	go func() { _ = server.Serve() }()
	t.Cleanup(func() { _ = server.Close() })
	return server.Address(), memory
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return conn, bufio.NewReader(conn)
}

func send(t *testing.T, w io.Writer, text string) {
	t.Helper()
	_, err := io.WriteString(w, text)
	assert.NilError(t, err)
}

func post(size int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size)
}

func checkStatus(t *testing.T, r *bufio.Reader, want int) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, want)
}

func awaitHeld(t *testing.T, memory *usage.Limiter, reached func(held int64) bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !reached(memory.Held()); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d bytes are held", memory.Held())
	}
}

// isOpen returns whether what is held is only the given number of connections.
func isOpen(connections int64) func(held int64) bool {
	return func(held int64) bool { return held == connections*usage.ConnectionBytes }
}

func isBody(held int64) bool { return held >= bodyBytes }

func TestRequestsShareTheMemory(t *testing.T) {
	full := strings.Repeat("x", bodyBytes)
	t.Run("one is refused beside another", func(t *testing.T) {
		address, memory := serve(t, time.Hour)
		first, firstAnswers := dial(t, address)
		send(t, first, post(bodyBytes)+full[1:])
		awaitHeld(t, memory, isBody)
		second, secondAnswers := dial(t, address)
		send(t, second, post(bodyBytes))
		checkStatus(t, secondAnswers, http.StatusServiceUnavailable)
		third, thirdAnswers := dial(t, address)
		send(t, third, post(1)+"x")
		checkStatus(t, thirdAnswers, http.StatusOK)
		send(t, first, "x")
		checkStatus(t, firstAnswers, http.StatusOK)
		awaitHeld(t, memory, isOpen(2))
	})
	t.Run("one that stalls makes room", func(t *testing.T) {
		address, memory := serve(t, 0)
		stalled, stalledAnswers := dial(t, address)
		send(t, stalled, post(bodyBytes)+full[1:])
		awaitHeld(t, memory, isBody)
		other, otherAnswers := dial(t, address)
		send(t, other, post(bodyBytes)+full)
		checkStatus(t, otherAnswers, http.StatusOK)
		checkStatus(t, stalledAnswers, http.StatusServiceUnavailable)
		awaitHeld(t, memory, isOpen(1))
	})
	t.Run("one whose caller leaves gives its memory back", func(t *testing.T) {
		address, memory := serve(t, time.Hour)
		conn, _ := dial(t, address)
		send(t, conn, post(bodyBytes))
		awaitHeld(t, memory, isBody)
		_ = conn.Close()
		awaitHeld(t, memory, isOpen(0))
	})
	t.Run("also in HTTP/2", func(t *testing.T) {
		address, memory := serve(t, time.Hour)
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		transport := &http.Transport{Protocols: protocols}
		t.Cleanup(transport.CloseIdleConnections)
		client := &http.Client{Transport: transport, Timeout: testTimeout}
		for _, size := range []int{1, bodyBytes} {
			response, err := client.Post("http://"+address+"/", "text/plain", strings.NewReader(full[:size]))
			assert.NilError(t, err)
			text, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, string(text), fmt.Sprint(size))
		}
		transport.CloseIdleConnections()
		awaitHeld(t, memory, isOpen(0))
	})
}

// Guards against connections that send nothing and keep others out.
func TestConnectionsShareTheLimit(t *testing.T) {
	const limit = 4
	listen := func(t *testing.T, patience time.Duration) string {
		connections := usage.New(usage.Config{Timers: clock.Clock{}, Limit: limit, Patience: patience, MinProgress: 1})
		memory := usage.New(usage.Config{Timers: clock.Clock{}, Limit: memoryBytes})
		server, err := httpd.Listen(httpd.Config{Name: "listener", Address: "127.0.0.1:0", Connections: connections, Memory: memory})
		assert.NilError(t, err)
		server.Handle(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
		}))
		go func() { _ = server.Serve() }()
		t.Cleanup(func() { _ = server.Close() })
		return server.Address()
	}
	t.Run("those that stall make room", func(t *testing.T) {
		address := listen(t, 0)
		for _, start := range []string{"", "POST / HT", post(2) + "x"} {
			for range 3 * limit {
				conn, _ := dial(t, address)
				// An earlier one may have been closed meanwhile.
				_, _ = io.WriteString(conn, start)
			}
		}
		conn, answers := dial(t, address)
		send(t, conn, post(0))
		checkStatus(t, answers, http.StatusOK)
	})
	t.Run("others are closed", func(t *testing.T) {
		address := listen(t, time.Hour)
		for range limit {
			conn, answers := dial(t, address)
			send(t, conn, post(0))
			checkStatus(t, answers, http.StatusOK)
		}
		_, answers := dial(t, address)
		_, err := answers.ReadByte()
		assert.Assert(t, err != nil)
	})
}

// Guards against heads that stop short of their end, and against connections whose next
// request is counted with the one before.
func TestHeadsAreCounted(t *testing.T) {
	t.Run("one that stalls makes room", func(t *testing.T) {
		address, memory := serve(t, 0)
		for range 40 {
			conn, _ := dial(t, address)
			before := memory.Held()
			send(t, conn, "GET / HTTP/1.1\r\nX-Long: "+strings.Repeat("x", 3000))
			if before < memoryBytes/4 {
				awaitHeld(t, memory, func(held int64) bool { return held > before })
			}
		}
		conn, answers := dial(t, address)
		send(t, conn, post(1)+"x")
		checkStatus(t, answers, http.StatusOK)
	})
	t.Run("each on a kept connection", func(t *testing.T) {
		address, memory := serve(t, time.Hour)
		conn, answers := dial(t, address)
		for range 100 {
			send(t, conn, post(1)+"x")
			checkStatus(t, answers, http.StatusOK)
		}
		awaitHeld(t, memory, isOpen(1))
	})
}

// Guards against the end of a request in progress on a server that bounds its connections
// but not its memory.
func TestARequestInProgressKeepsItsConnection(t *testing.T) {
	connections := usage.New(usage.Config{Timers: clock.Clock{}, Limit: 1, MinProgress: 1})
	server, err := httpd.Listen(httpd.Config{Name: "listener", Address: "127.0.0.1:0", Connections: connections})
	assert.NilError(t, err)
	started, release := make(chan struct{}), make(chan struct{})
	server.Handle(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-release
	}))
	go func() { _ = server.Serve() }()
	t.Cleanup(func() { _ = server.Close() })
	conn, answers := dial(t, server.Address())
	send(t, conn, post(0))
	<-started
	_, others := dial(t, server.Address())
	_, err = others.ReadByte()
	assert.Assert(t, err != nil)
	close(release)
	checkStatus(t, answers, http.StatusOK)
}

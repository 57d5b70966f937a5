package answers

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fault is what happens to the answer of one request.
type fault uint8

const (
	noFault fault = iota
	// late sends a second copy a few milliseconds later.
	late
	// doubled sends the answer twice at once.
	doubled
	// swapped sends the answer of an earlier request in place of its own.
	swapped
	// preceded sends the answer of an earlier request before its own.
	preceded
	// missing runs the request and closes the connection without an answer.
	missing
	faultCount
)

// testHeader carries the number of a request from the caller to the server, which
// returns it in the body.
const testHeader = "X-Number"

// idHeaders are the headers that a server returns, by the interface that it speaks.
var idHeaders = []string{"Teaseltack-Call-Id", "X-Teaseltack-Attempt-Id"}

// server is a backend server whose answers have faults.
type server struct {
	listener net.Listener
	// named is set if answers name their requests.
	named bool

	mu      sync.Mutex
	faults  map[string]fault
	delays  map[string]time.Duration
	scripts map[string]script
	earlier []byte
	runs    map[string]int
}

// script answers one request, of which the head and the start of the body have been read.
// The connection is closed after it.
type script func(conn *net.TCPConn, r *http.Request)

func startServer(t *testing.T, named bool) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &server{listener: listener, named: named, faults: map[string]fault{}, delays: map[string]time.Duration{}, scripts: map[string]script{}, runs: map[string]int{}}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

// plan sets what happens to the answer of the request with the number.
func (s *server) plan(number string, f fault, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[number], s.delays[number] = f, delay
}

// setScript lets the script answer the request with the number.
func (s *server) setScript(number string, answer script) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scripts[number] = answer
}

// scripted reports whether a script has answered the request.
func (s *server) scripted(conn net.Conn, r *http.Request) bool {
	s.mu.Lock()
	answer := s.scripts[r.Header.Get(testHeader)]
	s.mu.Unlock()
	if answer != nil {
		answer(conn.(*net.TCPConn), r)
	}
	return answer != nil
}

func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	var writing sync.Mutex
	write := func(text []byte) bool {
		writing.Lock()
		defer writing.Unlock()
		_, err := conn.Write(text)
		return err == nil
	}
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil || s.scripted(conn, r) || !s.answer(r, write) {
			return
		}
	}
}

// answer answers a request and reports whether the connection stays open.
func (s *server) answer(r *http.Request, write func([]byte) bool) bool {
	number := r.Header.Get(testHeader)
	own := s.text(r, number)
	s.mu.Lock()
	f, delay, earlier := s.faults[number], s.delays[number], s.earlier
	s.earlier = own
	s.runs[number]++
	s.mu.Unlock()
	switch f {
	case late:
		time.AfterFunc(delay, func() { write(own) })
	case doubled:
		return write(append(own[:len(own):len(own)], own...))
	case swapped:
		return earlier == nil || write(earlier)
	case preceded:
		return write(append(earlier[:len(earlier):len(earlier)], own...))
	case missing:
		return false
	}
	return write(own)
}

func (s *server) text(r *http.Request, number string) []byte {
	fields := "X-Teaseltack-Server-Stamp: stamp\r\n"
	if s.named {
		fields = ownFields(r)
	}
	body := "answer to " + number
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(body), body)
}

// ownFields returns the header fields that make an answer the request's own.
func ownFields(r *http.Request) string {
	fields := "X-Teaseltack-Server-Stamp: stamp\r\n"
	for _, name := range idHeaders {
		if id := r.Header.Get(name); id != "" {
			fields += name + ": " + id + "\r\n"
		}
	}
	return fields
}

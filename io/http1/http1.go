// Package http1 serves HTTP/1.1 connections. It starts a request that follows an
// unanswered one at once, answers in order, and cancels what runs as soon as the
// caller closes its connection; the standard server reads on only after its
// answer. Requests are parsed by the standard library.
package http1

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"teaseltack"
)

// Request is one request as read, with its whole body.
type Request struct {
	Method string
	Host   string
	URI    string
	Path   string
	Header http.Header
	Body   []byte
}

// Response is the answer to a request. A response of status 0 breaks the
// connection off without an answer.
type Response struct {
	Status  int
	Headers []teaseltack.HeaderField
	Body    []byte
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config configures a server.
type Config struct {
	Listener net.Listener
	// Handle answers one request; its context ends when the caller disconnects.
	Handle func(ctx context.Context, r *Request) Response
	Limits func() Limits
	// OnMalformed is called on the connection's goroutine for a request that was
	// refused before Handle; it may be nil.
	OnMalformed func(err error)
}

// Server serves the connections of one listener.
type Server struct {
	cfg     Config
	closing atomic.Bool
	mu      sync.Mutex
	conns   map[*conn]bool
}

// New returns a server; Serve runs it.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, conns: map[*conn]bool{}}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve() {
	for {
		nc, err := s.cfg.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		c := newConn(s, nc)
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go c.serve()
	}
}

// acceptPause is the pause after a failed accept, as when descriptors run out.
const acceptPause = 10 * time.Millisecond

// DisableKeepAlives makes each connection close after the answers to the requests
// that it has sent.
func (s *Server) DisableKeepAlives() {
	s.closing.Store(true)
}

// Pending returns the number of requests without a complete answer.
func (s *Server) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := 0
	for c := range s.conns {
		busy += c.waiting()
	}
	return busy
}

// CloseIdle closes the listener and the connections without pending requests. It
// returns the number of pending requests. A request that has not been read by then
// is not handled.
func (s *Server) CloseIdle() int {
	_ = s.cfg.Listener.Close()
	s.mu.Lock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	busy := 0
	for _, c := range conns {
		busy += c.closeIdle()
	}
	return busy
}

// Close closes the listener and all connections. It returns the number of pending
// requests that it cut.
func (s *Server) Close() int {
	_ = s.cfg.Listener.Close()
	s.mu.Lock()
	conns := s.conns
	s.conns = map[*conn]bool{}
	s.mu.Unlock()
	cut := 0
	for c := range conns {
		cut += c.waiting()
		c.close()
	}
	return cut
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

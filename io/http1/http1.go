// Package http1 serves HTTP/1.1 connections. It runs pipelined GET and HEAD requests
// concurrently, answers in the order of the requests, and cancels the running
// requests as soon as the caller closes the connection. The server of the standard
// library reads the next request of a connection only after it has answered the one
// before. Requests are parsed by the standard library.
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
	"teaseltack/core/usage"
)

// Request is one request as read, with its whole body.
type Request struct {
	Method string
	Host   string
	URI    string
	Path   string
	Header http.Header
	Body   []byte
	// Memory is what the request holds of the server's memory. It is released when the
	// request is answered.
	Memory *usage.Holder
}

// Response is the answer to a request. A response with status 0 closes the
// connection without an answer.
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
	// Handle answers one request. It is called on a goroutine of its own; ctx ends
	// when the caller disconnects, or with EndPending.
	Handle func(ctx context.Context, r *Request) Response
	Limits func() Limits
	// Memory bounds what all requests hold in bytes, from their heads to their answers. It
	// may be shared among servers; nil bounds nothing.
	Memory *usage.Limiter
	// Connections bounds the open connections; nil bounds nothing.
	Connections *usage.Limiter
	// OnMalformed is called for a request that is refused without calling Handle, on
	// the goroutine that reads the connection; it may be nil.
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
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := newConn(s, nc)
		if !c.enter() {
			c.close()
			c.leave()
			continue
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go c.serve()
	}
}

// acceptRetryDelay is the delay after a failed accept, such as when the process is
// out of file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// DisableKeepAlives makes each connection close after its last pending request is
// answered.
func (s *Server) DisableKeepAlives() {
	s.closing.Store(true)
}

// Pending returns the number of requests without a complete answer.
func (s *Server) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := 0
	for c := range s.conns {
		pending += c.pendingCount()
	}
	return pending
}

// CloseIdle closes the listener, ends the connections without pending requests and
// returns the number of pending requests. Requests that have not been read from the ended
// connections are not handled; Lingering counts those connections until they are closed.
func (s *Server) CloseIdle() int {
	_ = s.cfg.Listener.Close()
	s.mu.Lock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	pending := 0
	for _, c := range conns {
		pending += c.closeIdle()
	}
	return pending
}

// errClosing is the cause of ending the requests that are pending when the server closes.
var errClosing = errors.New("the listener is closing")

// EndPending ends the contexts of the requests that are not answered yet and of those that
// are read later, and returns the number of the former. Their handlers have to answer at
// once; the answers that are complete behind them are then sent as well.
func (s *Server) EndPending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := 0
	for c := range s.conns {
		ended += c.unansweredCount()
		c.cancel(errClosing)
	}
	return ended
}

// Lingering returns the number of connections on which nothing more is sent and whose
// callers have not closed them yet. They may still be receiving their last answers.
func (s *Server) Lingering() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	lingering := 0
	for c := range s.conns {
		if c.isLingering() {
			lingering++
		}
	}
	return lingering
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
		cut += c.pendingCount()
		c.close()
	}
	return cut
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

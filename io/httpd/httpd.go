// Package httpd runs HTTP servers with common limits, one per listen address.
package httpd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"teaseltack/core/usage"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	maxStreams     = 2000
	// maxReceiveBuffer bounds what a connection in HTTP/2 receives unread, in bytes.
	maxReceiveBuffer = 256 << 10
	sendPingTimeout  = 15 * time.Second
	pingTimeout      = 5 * time.Second
)

// Config configures a server.
type Config struct {
	// Name names the listener in errors, as in "outer listener".
	Name    string
	Address string
	// Connections bounds the open connections; nil bounds nothing.
	Connections *usage.Limiter
	// Memory bounds what all requests hold in bytes, from their heads to their answers. It
	// may be shared among servers; nil bounds nothing.
	Memory *usage.Limiter
}

// Server accepts HTTP/1.1 and HTTP/2 without TLS.
type Server struct {
	name     string
	memory   *usage.Limiter
	server   *http.Server
	listener net.Listener
	// closing is set once each connection is to close after its next answer.
	closing atomic.Bool
}

// Listen opens the listener. Serve accepts its connections.
func Listen(cfg Config) (*Server, error) {
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("opening the %s: %w", cfg.Name, err)
	}
	return New(cfg, listener), nil
}

// New returns a server for a listener that is open.
func New(cfg Config, listener net.Listener) *Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	counting := &countingListener{Listener: listener, connections: cfg.Connections, memory: cfg.Memory}
	return &Server{name: cfg.Name, memory: cfg.Memory, listener: counting, server: &http.Server{
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
		ConnContext:       withConn,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxStreams,
			MaxReceiveBufferPerConnection: maxReceiveBuffer,
			MaxReceiveBufferPerStream:     maxReceiveBuffer,
			SendPingTimeout:               sendPingTimeout,
			PingTimeout:                   pingTimeout,
		},
	}}
}

// Address returns the listen address.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Handle sets the handler; it must be called before Serve.
func (s *Server) Handle(handler http.Handler) {
	s.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		s.serveCounted(handler, w, r)
	})
}

// serveCounted serves a request whose holder is in its context. Without memory for its
// head, it closes the connection, or the stream in HTTP/2.
func (s *Server) serveCounted(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	request := &request{controller: http.NewResponseController(w)}
	memory := s.memory.Enter(request.evict)
	defer memory.Release()
	defer request.end()
	if c := connOf(r.Context()); c != nil {
		defer c.end()
		if err := c.begin(memory, r.ProtoMajor > 1); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	if err := memory.Take(headBytes(r)); err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.Body == http.NoBody {
		memory.Complete()
	}
	handler.ServeHTTP(w, r.WithContext(usage.NewContext(r.Context(), memory)))
}

// headBytes returns the memory that a request takes beside its body.
func headBytes(r *http.Request) int64 {
	size, fields := len(r.RequestURI), 0
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
			fields++
		}
	}
	return usage.HeadBytes(size, fields)
}

// request is a request in progress.
type request struct {
	controller *http.ResponseController
	mu         sync.Mutex
	ended      bool
}

// evict ends the reading of the request's body, unless the request has ended: the
// controller must not be used then.
func (r *request) evict() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended {
		_ = r.controller.SetReadDeadline(time.Unix(1, 0))
	}
}

func (r *request) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
}

// Serve serves requests until Shutdown.
func (s *Server) Serve() error {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serving the %s: %w", s.name, err)
}

// Shutdown stops accepting connections, closes idle ones, sends GOAWAY on HTTP/2
// connections and waits for the requests in progress. If the context ends first, it
// closes all connections and returns an error.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil {
		_ = s.server.Close()
		return fmt.Errorf("closing the %s with requests in progress: %w", s.name, err)
	}
	return nil
}

// DisableKeepAlives makes each connection close after its next answer, which says so.
// http.Server.SetKeepAlivesEnabled would close the idle connections at once, and with
// them requests that callers have just sent.
func (s *Server) DisableKeepAlives() {
	s.closing.Store(true)
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	return s.server.Close()
}

// countingListener counts its connections and what they read.
type countingListener struct {
	net.Listener
	connections, memory *usage.Limiter
}

// Accept returns the next connection that finds room, and closes the others.
func (l *countingListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, err := newConn(accepted, l.connections, l.memory)
		if err == nil {
			return c, nil
		}
		_ = c.Close()
	}
}

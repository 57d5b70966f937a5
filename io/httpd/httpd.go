// Package httpd runs HTTP servers with common limits, one per listen address.
package httpd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	headerTimeout   = 5 * time.Second
	idleTimeout     = 2 * time.Minute
	maxHeaderBytes  = 64 << 10
	maxStreams      = 2000
	sendPingTimeout = 15 * time.Second
	pingTimeout     = 5 * time.Second
)

// Config configures a server.
type Config struct {
	// Name names the listener in errors, as in "outer listener".
	Name    string
	Address string
	// MaxConnections bounds the open connections; 0 means unlimited.
	MaxConnections int
}

// Server accepts HTTP/1.1 and HTTP/2 without TLS.
type Server struct {
	name     string
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
	if cfg.MaxConnections > 0 {
		listener = &boundedListener{Listener: listener, maxOpen: int64(cfg.MaxConnections)}
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &Server{name: cfg.Name, listener: listener, server: &http.Server{
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams,
			SendPingTimeout:      sendPingTimeout,
			PingTimeout:          pingTimeout,
		},
	}}, nil
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
		handler.ServeHTTP(w, r)
	})
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

// boundedListener closes connections beyond maxOpen immediately after accepting them.
type boundedListener struct {
	net.Listener
	maxOpen int64
	open    atomic.Int64
}

// Accept returns the next connection that does not exceed maxOpen.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.maxOpen {
			return &countedConn{Conn: conn, open: &l.open}, nil
		}
		l.open.Add(-1)
		_ = conn.Close()
	}
}

type countedConn struct {
	net.Conn
	open   *atomic.Int64
	closed atomic.Bool
}

// Close closes the connection; repeated calls decrement the count only once.
func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

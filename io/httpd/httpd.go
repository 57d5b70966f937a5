// Package httpd runs an HTTP server on one address with the limits that every
// listener shares.
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
	headerTime     = 5 * time.Second
	idleTime       = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	maxStreams     = 2000
	pingAfter      = 15 * time.Second
	pingTime       = 5 * time.Second
)

// Config configures a server.
type Config struct {
	// Name is used in errors, such as "outer listener".
	Name    string
	Address string
	// MaxConnections bounds the open connections; 0 is no bound.
	MaxConnections int
}

// Server accepts HTTP/1.1 and HTTP/2 without TLS.
type Server struct {
	name     string
	server   *http.Server
	listener net.Listener
}

// Listen opens the address. Serve starts to answer.
func Listen(cfg Config) (*Server, error) {
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("opening the %s: %w", cfg.Name, err)
	}
	if cfg.MaxConnections > 0 {
		listener = &boundedListener{Listener: listener, most: int64(cfg.MaxConnections)}
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &Server{name: cfg.Name, listener: listener, server: &http.Server{
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams,
			SendPingTimeout:      pingAfter,
			PingTimeout:          pingTime,
		},
	}}, nil
}

// Address returns the address that is listened on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Handle sets what answers the requests; it is called before Serve.
func (s *Server) Handle(handler http.Handler) {
	s.server.Handler = handler
}

// Serve answers until Shutdown.
func (s *Server) Serve() error {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serving the %s: %w", s.name, err)
}

// Shutdown takes no new connections, tells the kept ones to go away and waits
// for the requests in progress until the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil {
		_ = s.server.Close()
		return fmt.Errorf("closing the %s with requests in progress: %w", s.name, err)
	}
	return nil
}

// KeepAlives turns the reuse of HTTP/1.1 connections on or off.
func (s *Server) KeepAlives(on bool) {
	s.server.SetKeepAlivesEnabled(on)
}

// boundedListener closes connections beyond a number at once.
type boundedListener struct {
	net.Listener
	most int64
	open atomic.Int64
}

// Accept returns the next connection within the bound.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
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

// Close closes the connection and counts it once.
func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

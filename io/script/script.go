// Package script is a stand-in for a broken HTTP server: it answers requests with the
// bytes that a test gives.
package script

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// resetDelay is the time between an answer and the reset of its connection, in which the
// client receives the answer.
const resetDelay = 2 * time.Millisecond

// Config configures a Server.
type Config struct {
	// Answer is sent once the head of a request has been read.
	Answer string
	// Reset ends each connection by a reset while the body of its request is unread.
	// Otherwise the connection ends in the regular way and the body is read.
	Reset bool
}

// Server answers one request per connection.
type Server struct {
	cfg      Config
	listener net.Listener
}

// Start starts a server on a free port of the loopback interface.
func Start(cfg Config) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	s := &Server{cfg: cfg, listener: listener}
	go s.accept()
	return s, nil
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close stops accepting connections.
func (s *Server) Close() {
	_ = s.listener.Close()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn.(*net.TCPConn))
	}
}

func (s *Server) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, s.cfg.Answer)
	if s.cfg.Reset {
		time.Sleep(resetDelay)
		_ = conn.SetLinger(0)
		return
	}
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, r.Body)
}

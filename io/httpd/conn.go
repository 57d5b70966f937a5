package httpd

import (
	"context"
	"fmt"
	"net"
	"sync"

	"teaseltack/core/usage"
)

const (
	// parsedFactor is how many times its size a head takes while it is parsed, at most.
	parsedFactor = 16
	// http2Bytes is the memory in bytes that a connection in HTTP/2 takes beside its
	// requests: what it may receive unread, and a head.
	http2Bytes = maxReceiveBuffer + maxHeaderBytes
)

// conn is a connection of a server. It counts what it reads before its next request
// begins, which is the head of that request.
type conn struct {
	net.Conn
	// slot is the connection's place among those of its listener.
	slot, memory *usage.Holder

	mu sync.Mutex
	// headBytes is what is counted for the head that is being read.
	headBytes int64
	// requests is the number of requests in progress.
	requests int
	http2    bool
}

// newConn returns a connection with a place and memory of its own.
func newConn(nc net.Conn, connections, memory *usage.Limiter) (*conn, error) {
	evict := func() { _ = nc.Close() }
	c := &conn{Conn: nc, slot: connections.Enter(evict), memory: memory.Enter(evict)}
	err := c.slot.Take(1)
	if err == nil {
		err = c.memory.Take(usage.ConnectionBytes)
	}
	return c, err
}

type connKey struct{}

// withConn is the ConnContext of a server.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// Read reads from the connection. It fails if there is no memory for the head.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.slot.Progress(int64(n))
	c.memory.Progress(int64(n))
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 || c.requests > 0 || c.http2 {
		return n, err
	}
	size := int64(n) * parsedFactor
	if takeErr := c.memory.Take(size); takeErr != nil {
		return 0, fmt.Errorf("reading the head of a request: %w", takeErr)
	}
	c.headBytes += size
	return n, err
}

// begin counts a request as begun, whose head is counted with the request from then on. The
// connection keeps its place once the request is received.
func (c *conn) begin(request *usage.Holder, isHTTP2 bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	if request == nil {
		c.slot.Complete()
	}
	request.CompleteWith(c.slot)
	c.memory.Complete()
	c.memory.Give(c.headBytes)
	c.headBytes = 0
	if !isHTTP2 || c.http2 {
		return nil
	}
	c.http2 = true
	return c.memory.Take(http2Bytes)
}

func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests--; c.requests == 0 {
		c.slot.Receive()
		c.memory.Receive()
	}
}

// CloseWrite closes the connection for writing, so that the last answer reaches a caller
// that is still sending.
func (c *conn) CloseWrite() error {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return nil
}

// Close closes the connection and gives its place and its memory back.
func (c *conn) Close() error {
	c.slot.Release()
	c.memory.Release()
	return c.Conn.Close()
}

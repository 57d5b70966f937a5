// Package pool sends HTTP/1.1 requests to one backend server over persistent
// connections. It never sends a request twice, reuses a connection only if the server
// sent exactly one complete answer on it that names its request, and returns an answer
// only if the request's Check classifies it as the request's own. The memory that
// answers take while they are read is bounded, for each and for all together.
package pool

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"teaseltack"
	"teaseltack/core/usage"
	"teaseltack/io/socket"
)

const (
	// dialTimeout bounds the time to connect to a backend server of the same host.
	dialTimeout = 400 * time.Millisecond
	// maxNonIdempotentIdle is the longest idle time after which a connection may carry
	// a non-idempotent request; after a longer one the connection may have been
	// dropped without the pool having noticed.
	maxNonIdempotentIdle = 3 * time.Second
	// defaultKeepAlive is how long an idle connection is kept if the server sends no
	// Keep-Alive timeout.
	defaultKeepAlive = 8 * time.Second
	// keepAliveMargin is subtracted from the server's Keep-Alive timeout, so that the
	// pool stops using a connection before the server closes it.
	keepAliveMargin = 1500 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged before the kernel
	// closes the connection.
	userTimeout = 3 * time.Second
)

// Request is one request to the backend server.
type Request struct {
	Method string
	// Head is the request line and the headers, with the final empty line.
	Head []byte
	Body []byte
	// NonIdempotent keeps the request off connections that have been idle for long,
	// since it cannot be sent again if the connection turns out to be closed.
	NonIdempotent bool
	// OversizedVerdict is the verdict of a request whose own answer is too large.
	OversizedVerdict teaseltack.Verdict
	// Check classifies an answer by its head. It is called on the goroutine of Do.
	Check func(status int, header http.Header) Match
}

// Match says whether an answer belongs to a request.
type Match uint8

// The matches.
const (
	// Own is the request's answer.
	Own Match = iota
	// Foreign is a late or second answer to an earlier request.
	Foreign
	// Broken is a response that cannot be the backend server's answer.
	Broken
	// Unnamed is an answer that names no request. It is taken only if it is the first
	// on its connection, which then carries no second request: a late second answer
	// could not be told from the next one.
	Unnamed
)

// Response is a complete answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Delimited is set if the answer's own bytes show where it ends. Without it, the
	// body ended with the connection and may lack its rest.
	Delimited bool
}

// Config configures a pool.
type Config struct {
	Timers teaseltack.Timers
	// MaxAnswerBytes bounds the body of one answer.
	MaxAnswerBytes int64
	// Reading bounds the memory of all answers that are being read; an answer that finds
	// no room is refused. It may be shared with other readers of answers.
	Reading *usage.Limiter
	// OnConnect is called after each new connection, on the goroutine of Do and
	// without locks; it may be nil.
	OnConnect func()
}

// Pool holds the connections to one address.
type Pool struct {
	cfg     Config
	mu      sync.Mutex
	address string
	idle    []*conn
}

// New returns a pool without an address.
func New(cfg Config) *Pool {
	return &Pool{cfg: cfg}
}

// SetAddress sets the address; a change closes the idle connections.
func (p *Pool) SetAddress(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address == address {
		return
	}
	p.address = address
	p.closeIdle()
}

// Reset closes the idle connections. It is called when another backend server has
// started at the same address.
func (p *Pool) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle()
}

func (p *Pool) closeIdle() {
	for _, c := range p.idle {
		_ = c.nc.Close()
	}
	p.idle = nil
}

// Do sends the request and returns its complete answer. The error is a *Refusal,
// with the verdict NotRun if no byte was sent.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c := p.takeIdle(r.NonIdempotent)
	if c == nil {
		var err error
		if c, err = p.dial(ctx); err != nil {
			return nil, err
		}
	}
	response, reuse, err := c.roundTrip(ctx, r)
	if err != nil || !reuse {
		_ = c.nc.Close()
		return response, err
	}
	p.putIdle(c)
	return response, nil
}

// takeIdle returns the most recently used idle connection, or nil if none may carry
// the request.
func (p *Pool) takeIdle(nonIdempotent bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Timers.Now()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		if nonIdempotent && now.Sub(c.usedAt) > maxNonIdempotentIdle && now.Before(c.keepUntil) {
			return nil
		}
		p.idle = p.idle[:last]
		if now.Before(c.keepUntil) && c.isUsable() {
			return c
		}
		_ = c.nc.Close()
	}
	return nil
}

// putIdle keeps a connection for reuse. It closes the connection if the address has
// changed, and the connection that has been idle longest if its keep-alive time is
// over.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.address != p.address {
		_ = c.nc.Close()
		return
	}
	now := p.cfg.Timers.Now()
	c.usedAt = now
	c.keepUntil = now.Add(c.keepAlive)
	p.idle = append(p.idle, c)
	if !now.Before(p.idle[0].keepUntil) {
		_ = p.idle[0].nc.Close()
		p.idle = p.idle[1:]
	}
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	address := p.address
	p.mu.Unlock()
	if address == "" {
		return nil, teaseltack.Refuse(teaseltack.ReasonNoServer, "the backend server has not announced an address")
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: socket.UserTimeout(userTimeout).Control}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, teaseltack.Refuse(teaseltack.ReasonServer, "connecting to the backend server: %v", err)
	}
	if p.cfg.OnConnect != nil {
		p.cfg.OnConnect()
	}
	return newConn(nc, address, p.cfg.MaxAnswerBytes, p.cfg.Reading), nil
}

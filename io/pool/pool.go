// Package pool sends HTTP/1.1 requests to one backend server over kept
// connections. It never sends a request twice, reuses a connection only after
// exactly the expected bytes, and takes an answer only where the check that it
// was given knows it as the request's own.
package pool

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"teaseltack"
	"teaseltack/io/socket"
)

const (
	// dialTime bounds the time to connect to a backend server of the same host.
	dialTime = 400 * time.Millisecond
	// freshIdle is the idle time up to which a connection may carry a
	// non-idempotent request; an older one may have been dropped unnoticed.
	freshIdle = 3 * time.Second
	// defaultKeep is how long a connection is kept idle where the server does not
	// tell its own time.
	defaultKeep = 8 * time.Second
	// keepMargin is subtracted from the time that the server tells.
	keepMargin = 1500 * time.Millisecond
	// userTimeout bounds the time that sent bytes stay unacknowledged.
	userTimeout = 3 * time.Second
)

// Request is one request as it goes out.
type Request struct {
	Method string
	// Head is the head with its final empty line.
	Head []byte
	Body []byte
	// NonIdempotent keeps the request off connections that have been idle for long,
	// since it cannot be sent again if the connection turns out to be closed.
	NonIdempotent bool
	// Check classifies an answer.
	Check func(status int, header http.Header) Match
}

// Match is how an answer relates to a request.
type Match uint8

// The matches.
const (
	// Own is the request's answer.
	Own Match = iota
	// Foreign is a late or second answer to an earlier request.
	Foreign
	// Broken is a response that cannot be the backend server's answer.
	Broken
)

// Response is a complete answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Config configures a pool.
type Config struct {
	Timers         teaseltack.Timers
	MaxAnswerBytes int64
	// OnConnect is called for each new connection; it may be nil.
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

// Reset closes the idle connections, as after another backend server has started
// at the address.
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

// Do sends the request and returns its whole answer. The error is a *Refusal:
// NotRun where no byte was sent.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c := p.take(r.NonIdempotent)
	if c == nil {
		var err error
		if c, err = p.dial(ctx); err != nil {
			return nil, err
		}
	}
	response, reuse, err := c.do(ctx, r)
	if err != nil || !reuse {
		_ = c.nc.Close()
		return response, err
	}
	p.put(c)
	return response, nil
}

// take returns the connection that was used last, or nil.
func (p *Pool) take(once bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Timers.Now()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		if once && now.Sub(c.usedAt) > freshIdle && now.Before(c.keepUntil) {
			return nil
		}
		p.idle = p.idle[:last]
		if now.Before(c.keepUntil) && c.sound() {
			return c
		}
		_ = c.nc.Close()
	}
	return nil
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.address != p.address {
		_ = c.nc.Close()
		return
	}
	now := p.cfg.Timers.Now()
	c.usedAt = now
	c.keepUntil = now.Add(c.keep)
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
		return nil, teaseltack.Refuse(teaseltack.ReasonNoServer, "no address was announced")
	}
	dialer := net.Dialer{Timeout: dialTime, KeepAlive: -1, Control: socket.UserTimeout(userTimeout).Control}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, teaseltack.Refuse(teaseltack.ReasonServer, "connecting to the server: %v", err)
	}
	if p.cfg.OnConnect != nil {
		p.cfg.OnConnect()
	}
	return newConn(nc, address, p.cfg.MaxAnswerBytes), nil
}

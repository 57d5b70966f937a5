package soak_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// proxyFault is the fault that a proxy injects into its connections.
type proxyFault uint8

const (
	noProxyFault proxyFault = iota
	// delayData delays all data by dataDelay.
	delayData
	// resetConnections resets the open connections once.
	resetConnections
	// blackholeOutbound discards the data to the target.
	blackholeOutbound
	// blackholeOpenConnections discards the data in both directions on the
	// connections that were open when the fault was set.
	blackholeOpenConnections
	proxyFaultCount
)

// dataDelay is the delay of each chunk that a proxy forwards.
const dataDelay = 100 * time.Millisecond

// proxy forwards TCP connections to a daemon or from a daemon to the store.
type proxy struct {
	listener   net.Listener
	target     string
	mu         sync.Mutex
	fault      proxyFault
	faultSetAt time.Time
	open       map[net.Conn]time.Time
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &proxy{listener: listener, target: target, open: map[net.Conn]time.Time{}}
	t.Cleanup(func() { _ = listener.Close() })
	go p.run()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) run() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		now := time.Now()
		p.mu.Lock()
		p.open[client] = now
		p.mu.Unlock()
		go p.forward(client, target, now, true)
		go p.forward(target, client, now, false)
	}
}

// setFault replaces the fault.
func (p *proxy) setFault(fault proxyFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.faultSetAt = fault, time.Now()
	if fault != resetConnections {
		return
	}
	for conn := range p.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (p *proxy) forward(from, to net.Conn, opened time.Time, toTarget bool) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
		p.mu.Lock()
		delete(p.open, from)
		p.mu.Unlock()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		fault, openedBefore := p.fault, opened.Before(p.faultSetAt)
		p.mu.Unlock()
		switch {
		case fault == delayData:
			time.Sleep(dataDelay)
		case fault == blackholeOutbound && toTarget, fault == blackholeOpenConnections && openedBefore:
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

//go:build linux

package cuts_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"gotest.tools/v3/assert"
)

const (
	// firstRetransmission is the kernel's delay before it sends a segment again on a
	// short path; it doubles with each attempt.
	firstRetransmission = 200 * time.Millisecond
	acceptRetryDelay    = 10 * time.Millisecond
)

// way carries the TCP connections that one host opens to the store or to another host. It
// is a net.Listener and is safe for concurrent use.
type way struct {
	address   string
	done      chan struct{}
	closeOnce sync.Once
	mu        sync.Mutex
	// listener is closed while the way is cut.
	listener *net.TCPListener
	conns    map[*wayConn]bool
	state    wayState
}

// wayState is what a way does with new connections.
type wayState uint8

const (
	open wayState = iota
	// cut refuses them.
	cut
	// silent gives no answer.
	silent
	// swallowing accepts them and discards their data.
	swallowing
)

// wayConn is one end of a connection on a way.
type wayConn struct {
	net.Conn
	way    *way
	silent atomic.Bool
	// dead is set once data was discarded.
	dead atomic.Bool
}

func newWay(t *testing.T) *way {
	t.Helper()
	listener, err := listen(fmt.Sprintf("%s:%d", randomIP(), 10_000+rand.IntN(20_000)))
	assert.NilError(t, err)
	w := &way{address: listener.Addr().String(), listener: listener, done: make(chan struct{}), conns: map[*wayConn]bool{}}
	t.Cleanup(func() { _ = w.Close() })
	return w
}

// listen opens a listener without MPTCP, on which the kernel refuses packet filters.
func listen(address string) (*net.TCPListener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener), nil
}

// Accept waits for the next connection, also while the way is cut.
func (w *way) Accept() (net.Conn, error) {
	for {
		w.mu.Lock()
		listener := w.listener
		w.mu.Unlock()
		nc, err := listener.Accept()
		if err == nil {
			return w.add(nc), nil
		}
		select {
		case <-w.done:
			return nil, net.ErrClosed
		case <-time.After(acceptRetryDelay):
		}
	}
}

// Addr returns the address at which the way begins.
func (w *way) Addr() net.Addr {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listener.Addr()
}

// Close ends the way and its connections.
func (w *way) Close() error {
	w.closeOnce.Do(func() {
		close(w.done)
		w.cut()
	})
	return nil
}

func (w *way) add(nc net.Conn) *wayConn {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := &wayConn{Conn: nc, way: w}
	w.conns[c] = true
	switch w.state {
	case silent:
		c.silence(true)
	case cut:
		c.resetLocked()
	case swallowing:
		c.dead.Store(true)
	}
	return c
}

// cut resets the open connections and refuses new ones.
func (w *way) cut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = cut
	_ = w.listener.Close()
	w.resetLocked()
}

// reset resets the open connections.
func (w *way) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resetLocked()
}

func (w *way) resetLocked() {
	for c := range w.conns {
		c.resetLocked()
	}
}

// silence drops all packets, those that would open a connection included.
func (w *way) silence() {
	w.silenceOpen()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = silent
	_ = dropPackets(w.listener, true)
}

// silenceOpen drops all packets of the open connections.
func (w *way) silenceOpen() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		c.silence(true)
	}
}

// swallow discards all data, which the kernel still acknowledges, those of new connections
// included. A connection that was open meanwhile stays dead.
func (w *way) swallow() {
	w.swallowOpen()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = swallowing
}

// swallowOpen discards all later data of the open connections. It returns the number of
// their ends.
func (w *way) swallowOpen() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		c.dead.Store(true)
	}
	return len(w.conns)
}

// restore ends a cut, a silence or the swallowing.
func (w *way) restore() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.state
	w.state = open
	for c := range w.conns {
		c.silence(false)
	}
	switch before {
	case silent:
		return dropPackets(w.listener, false)
	case cut:
		var err error
		w.listener, err = listen(w.address)
		return err
	}
	return nil
}

// forwardTo forwards the connections to the target until Close.
func (w *way) forwardTo(target string) {
	for {
		near, err := w.Accept()
		if err != nil {
			return
		}
		nc, err := net.Dial("tcp", target)
		if err != nil {
			_ = near.Close()
			continue
		}
		far := w.add(nc)
		go forward(near, far)
		go forward(far, near)
	}
}

func forward(from, to net.Conn) {
	_, _ = io.Copy(to, from)
	_ = from.Close()
	_ = to.Close()
}

// resetLocked resets the connection. The caller holds the way's lock.
func (c *wayConn) resetLocked() {
	c.silent.Store(false)
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	_ = c.Conn.Close()
	delete(c.way.conns, c)
}

// silence makes the kernel drop, without an acknowledgement, all packets that arrive at
// this end, or ends that.
func (c *wayConn) silence(on bool) {
	if c.silent.Swap(on) != on {
		_ = dropPackets(c.Conn.(*net.TCPConn), on)
	}
}

func (c *wayConn) Read(data []byte) (int, error) {
	for {
		n, err := c.Conn.Read(data)
		if err != nil || !c.dead.Load() {
			return n, err
		}
	}
}

// Write waits as long as the kernel takes to deliver a segment that was first sent during
// a silence.
func (c *wayConn) Write(data []byte) (int, error) {
	if c.dead.Load() {
		return len(data), nil
	}
	c.awaitRetransmission()
	return c.Conn.Write(data)
}

// Close closes the connection once the other end can learn of it.
func (c *wayConn) Close() error {
	c.awaitRetransmission()
	c.way.mu.Lock()
	delete(c.way.conns, c)
	c.way.mu.Unlock()
	return c.Conn.Close()
}

func (c *wayConn) awaitRetransmission() {
	for delay := firstRetransmission; c.silent.Load(); delay *= 2 {
		select {
		case <-c.way.done:
			return
		case <-time.After(delay):
		}
	}
}

// dropPackets attaches a packet filter that accepts nothing to a socket, or detaches it.
func dropPackets(socket syscall.Conn, on bool) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		if !on {
			failed = os.NewSyscallError("setsockopt", syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_DETACH_FILTER, 0))
			return
		}
		drop := syscall.SockFilter{Code: syscall.BPF_RET | syscall.BPF_K}
		program := syscall.SockFprog{Len: 1, Filter: &drop}
		_, _, errno := syscall.Syscall6(syscall.SYS_SETSOCKOPT, fd, syscall.SOL_SOCKET, syscall.SO_ATTACH_FILTER,
			uintptr(unsafe.Pointer(&program)), unsafe.Sizeof(program), 0)
		runtime.KeepAlive(&drop)
		if errno != 0 {
			failed = os.NewSyscallError("setsockopt", errno)
		}
	})
	if err != nil {
		return err
	}
	return failed
}

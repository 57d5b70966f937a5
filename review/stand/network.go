package stand

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Address is an address in the network between the machines, which can be given to one
// machine after the other.
type Address struct {
	Host string

	mu       sync.Mutex
	listener *net.TCPListener
	conns    map[net.Conn]bool
	fillers  []net.Conn
	dark     bool
}

// NewAddress opens an address that leads to the given one.
func (w *World) NewAddress(to string) *Address {
	listener := Listen().(*net.TCPListener)
	a := &Address{Host: listener.Addr().String(), conns: map[net.Conn]bool{}}
	a.serve(listener, to)
	w.onEnd(a.Close)
	return a
}

func (a *Address) serve(listener *net.TCPListener, to string) {
	a.mu.Lock()
	a.listener = listener
	a.dark = false
	a.mu.Unlock()
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				reset(in)
				continue
			}
			a.mu.Lock()
			a.conns[in], a.conns[out] = true, true
			a.mu.Unlock()
			go a.pipe(in, out)
			go a.pipe(out, in)
		}
	}()
}

// pipe copies bytes until one side ends, and then ends both, unless the address is dark.
func (a *Address) pipe(from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		a.mu.Lock()
		dark := a.dark
		a.mu.Unlock()
		if dark {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				reset(from)
				reset(to)
			}
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// GoDark makes the address silent, as that of a machine without power: what is sent on
// open connections gets no response, and opening packets of new ones are dropped.
func (a *Address) GoDark() {
	a.mu.Lock()
	a.dark = true
	listener := a.listener
	a.mu.Unlock()
	must(listener.SetDeadline(time.Unix(1, 0)))
	raw, err := listener.SyscallConn()
	must(err)
	must(raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }))
	// The queue of new connections is full after a few; the kernel then drops the opening
	// packets.
	for range 4 {
		filler, err := net.DialTimeout("tcp", a.Host, 100*time.Millisecond)
		if err == nil {
			a.mu.Lock()
			a.fillers = append(a.fillers, filler)
			a.mu.Unlock()
		}
	}
}

// Refuse ends the silence: the address belongs to a machine on which nothing listens yet,
// so new connections are refused and old ones are reset.
func (a *Address) Refuse() {
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = a.listener.Close()
	for _, c := range a.fillers {
		reset(c)
	}
	for c := range a.conns {
		reset(c)
	}
	a.conns, a.fillers = map[net.Conn]bool{}, nil
}

// LeadTo gives the address to another machine.
func (a *Address) LeadTo(to string) {
	listener, err := net.Listen("tcp", a.Host)
	must(err)
	a.serve(listener.(*net.TCPListener), to)
}

// Close closes the address.
func (a *Address) Close() {
	a.Refuse()
}

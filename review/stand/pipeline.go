package stand

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Pipeline is a client that sends GET requests on one connection without waiting for the
// answers.
type Pipeline struct {
	Name, Host, Path string
	Budget           time.Duration
	// MeanPause is the mean time between two requests.
	MeanPause time.Duration
	// ReadPause is the time after each 2 KB read of an answer; zero reads at once.
	ReadPause time.Duration

	mu       sync.Mutex
	sent     []Answer
	answered int
}

// readPiece is the number of bytes that are read between two pauses.
const readPiece = 2048

// Run sends requests on one connection until stopped is set and all are answered, or until
// the daemon ends the connection. It returns the requests with their answers, in order; those
// without a complete answer have the status 0.
func (p *Pipeline) Run(to *Sidecar, stopped *atomic.Bool) []Answer {
	dialer := net.Dialer{Timeout: time.Second, Control: p.narrow}
	conn, err := dialer.Dial("tcp", to.Outbound)
	if err != nil {
		return nil
	}
	defer func() { _ = conn.Close() }()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.receive(conn)
	}()
	p.send(conn, ended, stopped)
	select {
	case <-ended:
	case <-time.After(p.Budget):
		_ = conn.Close()
		<-ended
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := p.answered; i < len(p.sent); i++ {
		p.sent[i].Ended = time.Now()
	}
	return p.sent
}

// narrow gives a connection that is read slowly small buffers and the segments of an
// Ethernet.
func (p *Pipeline) narrow(_, _ string, raw syscall.RawConn) error {
	if p.ReadPause == 0 {
		return nil
	}
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1448)
	})
}

// send sends requests until stopped is set or the connection has ended. It closes the
// connection once all requests are answered.
func (p *Pipeline) send(conn net.Conn, ended <-chan struct{}, stopped *atomic.Bool) {
	for i := 0; ; i++ {
		select {
		case <-ended:
			return
		default:
		}
		if stopped.Load() {
			p.mu.Lock()
			finished := p.answered == len(p.sent)
			p.mu.Unlock()
			if finished {
				_ = conn.Close()
				return
			}
			time.Sleep(10 * time.Millisecond)
			continue
		}
		id := fmt.Sprintf("%s-%03d", p.Name, i)
		p.mu.Lock()
		p.sent = append(p.sent, Answer{ID: id, Sent: time.Now()})
		p.mu.Unlock()
		_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Teaseltack-Attempt-Id: %s\r\nX-Teaseltack-Deadline-Ms: %d\r\n\r\n", p.Path, p.Host, id, p.Budget.Milliseconds())
		if err != nil {
			return
		}
		time.Sleep(time.Duration(rand.Int64N(2 * int64(p.MeanPause))))
	}
}

// receive reads answers until one is incomplete or closes the connection.
func (p *Pipeline) receive(conn net.Conn) {
	reader := bufio.NewReaderSize(conn, readPiece)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		for err == nil {
			_, err = io.CopyN(io.Discard, response.Body, readPiece)
			time.Sleep(p.ReadPause)
		}
		_ = response.Body.Close()
		p.mu.Lock()
		if err == io.EOF { //nolint:errorlint // The library returns it as it is at the end of a whole body.
			p.sent[p.answered].Status, p.sent[p.answered].Ended = response.StatusCode, time.Now()
			p.answered++
		}
		p.mu.Unlock()
		if err != io.EOF || response.Close { //nolint:errorlint // As above.
			return
		}
	}
}

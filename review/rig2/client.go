package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns a new attempt id.
func newID() string {
	return fmt.Sprintf("%012x%04x", time.Now().UnixMicro()&(1<<48-1), lastID.Add(1)&0xffff)
}

// client is one client connection.
type client struct {
	rig    *rig
	nc     net.Conn
	reader *bufio.Reader
}

func (r *rig) dial(address string) (*client, error) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{rig: r, nc: nc, reader: bufio.NewReader(nc)}, nil
}

func (c *client) close() {
	_ = c.nc.Close()
}

// send sends a request without waiting for its answer.
func (c *client) send(method, uri, id string, budget time.Duration, body []byte) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\nX-Teaseltack-Attempt-Id: %s\r\nX-Teaseltack-Deadline-Ms: %d\r\n", method, uri, id, budget.Milliseconds())
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c.nc, head+"\r\n"); err != nil {
		return err
	}
	_, err := c.nc.Write(body)
	c.rig.note("client: sent %s %s %s with %d bytes, error %v", id, method, uri, len(body), err)
	return err
}

// answer is a complete answer.
type answer struct {
	status    int
	id, stamp string
	length    int64
	close     bool
}

// receive reads the next answer.
func (c *client) receive(within time.Duration) (answer, error) {
	_ = c.nc.SetReadDeadline(time.Now().Add(within))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	length, err := io.Copy(io.Discard, response.Body)
	if err != nil {
		return answer{}, err
	}
	a := answer{status: response.StatusCode, id: response.Header.Get("X-Teaseltack-Attempt-Id"), stamp: response.Header.Get("X-Teaseltack-Server-Stamp"), length: length, close: response.Close}
	c.rig.note("client: answer %d of %q with %d bytes, stamp %q", a.status, a.id, a.length, a.stamp)
	return a, nil
}

// ask sends one request on a new connection and reads its answer.
func (r *rig) ask(address, method, uri, id string, budget time.Duration, body []byte) (answer, error) {
	c, err := r.dial(address)
	if err != nil {
		return answer{}, err
	}
	defer c.close()
	if err := c.send(method, uri, id, budget, body); err != nil {
		return answer{}, err
	}
	return c.receive(budget)
}

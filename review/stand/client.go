package stand

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

// Answer is what a client got for one request.
type Answer struct {
	ID string
	// Status is 0 if the connection ended without a complete answer.
	Status int
	Err    error
	Stamp  string
	Sent   time.Time
	Ended  time.Time
}

// Client sends requests to one daemon over kept connections.
type Client struct {
	world *World
	to    *Sidecar
	http  *http.Client
}

// NewClient returns a client of the daemon on its machine.
func (w *World) NewClient(to *Sidecar) *Client {
	return &Client{world: w, to: to, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}}
}

// Send sends one request and waits for the answer at most for the time budget.
func (c *Client) Send(id, method, host, path string, body []byte, budget time.Duration) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	// A reader without a way back keeps the library from sending a request twice.
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.to.Outbound+path, io.MultiReader(bytes.NewReader(body)))
	must(err)
	request.ContentLength = int64(len(body))
	if len(body) == 0 {
		request.Body = http.NoBody
	}
	request.Host = host
	request.Header.Set("X-Teaseltack-Attempt-Id", id)
	request.Header.Set("X-Teaseltack-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	answer := Answer{ID: id, Sent: time.Now()}
	response, err := c.http.Do(request)
	if err == nil {
		answer.Status, answer.Stamp = response.StatusCode, response.Header.Get("X-Teaseltack-Server-Stamp")
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	if err != nil {
		answer.Status = 0
	}
	answer.Err, answer.Ended = err, time.Now()
	c.world.Log("client at %s: %s %s %s answered %d after %v, error %v", c.to.Host, id, method, path, answer.Status, answer.Ended.Sub(answer.Sent).Round(time.Millisecond), err)
	return answer
}

// SlowRead sends a GET request on a connection of its own and reads the answer slowly:
// chunk bytes each period. It gives up at the end of its time budget. It returns the
// number of bytes read.
func (w *World) SlowRead(to *Sidecar, id, host, path string, chunk int, period, budget time.Duration) int {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1448)
		})
	}}
	conn, err := dialer.Dial("tcp", to.Outbound)
	must(err)
	defer func() { _ = conn.Close() }()
	sent := time.Now()
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Teaseltack-Attempt-Id: %s\r\nX-Teaseltack-Deadline-Ms: %d\r\n\r\n", path, host, id, budget.Milliseconds())
	must(err)
	_ = conn.SetReadDeadline(sent.Add(budget))
	read, buffer := 0, make([]byte, chunk)
	for err == nil && time.Since(sent) < budget {
		var n int
		n, err = conn.Read(buffer)
		read += n
		time.Sleep(period)
	}
	w.Log("slow client at %s: %s ends after %v with %d bytes read, error %v", to.Host, id, time.Since(sent).Round(time.Millisecond), read, err)
	return read
}

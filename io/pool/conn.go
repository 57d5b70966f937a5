package pool

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"teaseltack"
)

const (
	// readBuffer is the size of a connection's read buffer in bytes.
	readBuffer = 4096
	// smallBody is the size in bytes up to which a request goes out before its
	// answer is read; the kernel buffers that much.
	smallBody = 16 << 10
	// maxForeign bounds the answers to other requests that are passed over.
	maxForeign = 3
	// maxInformational bounds the informational answers before the final one.
	maxInformational = 5
)

// conn is one connection; it carries one request at a time.
type conn struct {
	nc        net.Conn
	address   string
	reader    *bufio.Reader
	limit     int64
	keep      time.Duration
	usedAt    time.Time
	keepUntil time.Time
}

func newConn(nc net.Conn, address string, limit int64) *conn {
	return &conn{nc: nc, address: address, reader: bufio.NewReaderSize(nc, readBuffer), limit: limit, keep: defaultKeep}
}

// sound reports that an idle connection is open and holds no byte.
func (c *conn) sound() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// do runs one request. The connection may be used again where reuse is true.
func (c *conn) do(ctx context.Context, r *Request) (response *Response, reuse bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if !stop() {
			reuse = false
		}
	}()
	sent, err := c.send(r)
	if err != nil {
		return nil, false, c.lost(ctx, err)
	}
	foreign := 0
	for {
		response, keep, err := c.receive(r.Method)
		if err != nil {
			return nil, false, c.lost(ctx, err)
		}
		switch r.Check(response.Status, response.Header) {
		case Own:
			reuse = keep && foreign == 0 && c.reader.Buffered() == 0 && finished(sent)
			return response, reuse, nil
		case Broken:
			return nil, false, teaseltack.Uncertain(teaseltack.ReasonAnswerMismatch, "the bytes are no answer of the server")
		}
		foreign++
		if foreign > maxForeign || !keep {
			return nil, false, teaseltack.Uncertain(teaseltack.ReasonAnswerMismatch, "the server answered another request")
		}
	}
}

// send writes the request. A large body is written beside the reading, since the
// server may answer before it has read it; the channel tells when it is out.
func (c *conn) send(r *Request) (<-chan error, error) {
	if len(r.Body) <= smallBody {
		_, err := c.nc.Write(append(r.Head, r.Body...))
		return nil, err
	}
	sent := make(chan error, 1)
	go func() {
		buffers := net.Buffers{r.Head, r.Body}
		_, err := buffers.WriteTo(c.nc)
		sent <- err
	}()
	return sent, nil
}

// finished reports whether the whole request is out.
func finished(sent <-chan error) bool {
	if sent == nil {
		return true
	}
	select {
	case err := <-sent:
		return err == nil
	default:
		return false
	}
}

// receive reads one answer and reports whether the server keeps the connection.
func (c *conn) receive(method string) (*Response, bool, error) {
	request := &http.Request{Method: method}
	for range maxInformational {
		raw, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, false, err
		}
		if raw.StatusCode >= 100 && raw.StatusCode < 200 {
			continue
		}
		body, err := c.readBody(raw)
		_ = raw.Body.Close()
		if err != nil {
			return nil, false, err
		}
		c.learnKeep(raw.Header)
		framed := raw.ContentLength >= 0 || len(raw.TransferEncoding) > 0
		return &Response{Status: raw.StatusCode, Header: raw.Header, Body: body}, framed && !raw.Close, nil
	}
	return nil, false, errors.New("the server sent informational answers only")
}

func (c *conn) readBody(raw *http.Response) ([]byte, error) {
	if raw.ContentLength > c.limit {
		return nil, teaseltack.Uncertain(teaseltack.ReasonTooLarge, "the answer has %d bytes, allowed are %d", raw.ContentLength, c.limit)
	}
	if raw.ContentLength >= 0 {
		body := make([]byte, raw.ContentLength)
		_, err := io.ReadFull(raw.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(raw.Body, c.limit+1))
	if err == nil && int64(len(body)) > c.limit {
		err = teaseltack.Uncertain(teaseltack.ReasonTooLarge, "the answer has over %d bytes", c.limit)
	}
	return body, err
}

// learnKeep takes over how long the server keeps idle connections.
func (c *conn) learnKeep(header http.Header) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			c.keep = max(time.Duration(seconds)*time.Second-keepMargin, 0)
		}
	}
}

// lost gives the verdict on a request whose connection broke: once a byte was
// sent it may have run.
func (c *conn) lost(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return teaseltack.Uncertain(teaseltack.ReasonLifetime, "the server did not answer in time")
	}
	var refusal *teaseltack.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return teaseltack.Uncertain(teaseltack.ReasonAnswerCut, "the server's answer broke off: %v", err)
}

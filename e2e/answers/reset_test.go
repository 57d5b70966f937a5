package answers

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// uploadSize is the size in bytes of an upload that no socket buffer holds.
	uploadSize = maxBody
	// resets is the number of uploads that end with a reset: whether the daemon notices it
	// while it writes or while it reads is up to the kernel.
	resets = 40
	// part is what a server sends of a body.
	part = "the first part of a body"
)

// upload sends a long upload that the script answers, and returns what the caller gets.
func (p *path) upload(t *testing.T, answer script) (int, string) {
	t.Helper()
	number := fmt.Sprint(numbers.Add(1))
	p.server.setScript(number, answer)
	request := p.longRequest(number)
	request.Method, request.Body, request.ContentLength = http.MethodPost, io.NopCloser(bytes.NewReader(make([]byte, uploadSize))), uploadSize
	response, err := p.client.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(text)
}

// answerWithoutLength sends an answer whose end is the end of the connection.
func answerWithoutLength(conn *net.TCPConn, r *http.Request) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n%s", ownFields(r), part)
}

// answerAndReset sends a part of an answer and resets the connection once the daemon waits
// both for the rest of the answer and for room to write the upload.
func answerAndReset(conn *net.TCPConn, r *http.Request) {
	answerWithoutLength(conn, r)
	time.Sleep(5 * time.Millisecond)
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// Guards against a part of an answer that reaches the caller as the whole: the server
// answered a long upload at once, without a length, and reset the connection while the
// upload was being written.
func TestAnAnswerThatEndsWithAResetIsNotWhole(t *testing.T) {
	for name, start := range bothKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := start(t)
			for range resets {
				status, text := p.upload(t, answerAndReset)
				assert.Equal(t, status, http.StatusBadGateway, "%q", text)
			}
		})
	}
}

// Guards against refusing or delaying an answer that ends with its connection in the
// regular way, whether or not the server reads the upload to its end.
func TestAnAnswerThatEndsWithTheConnectionIsWhole(t *testing.T) {
	p := onPlatform(t)
	for name, readUpload := range map[string]bool{"the upload is read": true, "the upload is not read": false} {
		t.Run(name, func(t *testing.T) {
			answered := make(chan struct{})
			status, text := p.upload(t, func(conn *net.TCPConn, r *http.Request) {
				answerWithoutLength(conn, r)
				_ = conn.CloseWrite()
				if readUpload {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				<-answered
			})
			close(answered)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, text, part)
		})
	}
}

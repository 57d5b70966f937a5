package pool_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"teaseltack"
	"teaseltack/core/usage"
	"teaseltack/io/clock"
	"teaseltack/io/pool"
)

// Guards against an answer that was cut off and passed on as complete.
func TestABodyIsWholeOrTheAnswerIsRefused(t *testing.T) {
	const maxBody = 700_000
	type script struct {
		answer []byte
		whole  bool
	}
	scripts := make(chan script, 1)
	s := newServer(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
		next := <-scripts
		_, err := conn.Write(next.answer)
		return next.whole && err == nil
	})
	p := pool.New(pool.Config{Timers: clock.Clock{}, MaxAnswerBytes: maxBody, Reading: usage.New(usage.Answers(clock.Clock{}, 2*maxBody))})
	p.SetAddress(s.listener.Addr().String())
	rapid.Check(t, func(t *rapid.T) {
		body := bytes.Repeat([]byte("0123456789abcdef!"), rapid.IntRange(0, maxBody/17).Draw(t, "repeats"))
		var answer []byte
		head := "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\n"
		if rapid.Bool().Draw(t, "chunked") {
			answer = append([]byte(head+"Transfer-Encoding: chunked\r\n\r\n"), chunked(t, body)...)
		} else {
			answer = append([]byte(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(body))), body...)
		}
		whole := rapid.Bool().Draw(t, "whole")
		if !whole {
			answer = answer[:rapid.IntRange(0, len(answer)-1).Draw(t, "cut at")]
		}
		scripts <- script{answer, whole}
		response, err := p.Do(t.Context(), request("a", false))
		if !whole {
			refusal := teaseltack.AsRefusal(err)
			assert.Assert(t, err != nil && refusal.Verdict == teaseltack.MayHaveRun, "%v", err)
			return
		}
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(response.Body, body), "%d of %d bytes", len(response.Body), len(body))
	})
}

// chunked returns the body in chunks of drawn sizes.
func chunked(t *rapid.T, body []byte) []byte {
	var out bytes.Buffer
	for len(body) > 0 {
		size := min(rapid.IntRange(1, 300_000).Draw(t, "chunk"), len(body))
		_, _ = fmt.Fprintf(&out, "%x\r\n%s\r\n", size, body[:size])
		body = body[size:]
	}
	out.WriteString("0\r\n\r\n")
	return out.Bytes()
}

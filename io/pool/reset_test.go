package pool_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"teaseltack"
	"teaseltack/core/usage"
	"teaseltack/io/clock"
	"teaseltack/io/pool"
)

// Guards against a part of an answer that is taken as the whole. Whether the kernel
// reports the reset to the write of the request or to the read of the answer depends on
// the size of the request and on the moment of the reset.
func TestAnAnswerWithoutLengthThatEndsWithAResetMayHaveRun(t *testing.T) {
	const maxUpload = 8 << 20
	delays := make(chan time.Duration, 1)
	s := newServer(t, func(_ int64, r *http.Request, conn net.Conn) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\na part of the body", idHeader, r.Header.Get(idHeader))
		time.Sleep(<-delays)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	p := pool.New(pool.Config{Timers: clock.Clock{}, MaxAnswerBytes: 1 << 20, Reading: usage.New(usage.Answers(clock.Clock{}, 1<<20))})
	p.SetAddress(s.listener.Addr().String())
	rapid.Check(t, func(t *rapid.T) {
		r := request("a", true)
		r.Method = http.MethodPost
		r.Body = make([]byte, rapid.IntRange(0, maxUpload).Draw(t, "upload"))
		r.Head = fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: a\r\n%s: a\r\nContent-Length: %d\r\n\r\n", idHeader, len(r.Body))
		delays <- time.Duration(rapid.IntRange(0, int(5*time.Millisecond)).Draw(t, "delay"))
		response, err := p.Do(t.Context(), r)
		assert.Assert(t, response == nil && teaseltack.AsRefusal(err).Verdict == teaseltack.MayHaveRun, "%v", err)
	})
}

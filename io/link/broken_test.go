package link_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack"
)

// brokenAnswers are answers that no backend server can have given.
var brokenAnswers = map[string]teaseltack.Answer{
	"status 0":                  {},
	"status 99":                 {Status: 99},
	"status 101":                {Status: 101},
	"status 600":                {Status: 600},
	"a blank in a name":         {Status: 200, Headers: []teaseltack.HeaderField{{Name: "X Odd", Value: "1"}}},
	"a blank after a name":      {Status: 200, Headers: []teaseltack.HeaderField{{Name: "Content-Length ", Value: "1"}}},
	"a control byte in a name":  {Status: 200, Headers: []teaseltack.HeaderField{{Name: "X\x01Odd", Value: "1"}}},
	"an empty name":             {Status: 200, Headers: []teaseltack.HeaderField{{Value: "1"}}},
	"a line feed in a value":    {Status: 200, Headers: []teaseltack.HeaderField{{Name: "X-Odd", Value: "1\r\nX-Even: 2"}}},
	"a control byte in a value": {Status: 200, Headers: []teaseltack.HeaderField{{Name: "X-Odd", Value: "1\x00"}}},
}

// Guards against a broken answer that another daemon, such as one of an earlier version,
// took from its backend server and passes on.
func TestABrokenAnswerOfAnotherDaemonMayHaveRun(t *testing.T) {
	for name, broken := range brokenAnswers {
		t.Run(name, func(t *testing.T) {
			a, b := newNode(t, "a"), newNode(t, "b")
			b.serve = func(_ context.Context, c *teaseltack.Call) *teaseltack.Answer {
				answer := broken
				answer.ID, answer.Nonce, answer.Body = c.ID, c.Nonce, []byte("done")
				return &answer
			}
			answer, err := a.links.Forward(t.Context(), b.record, call("x", false))
			assert.NilError(t, err)
			assert.Assert(t, answer.Refusal != nil, "status %d, headers %v", answer.Status, answer.Headers)
			assert.Equal(t, answer.Refusal.Verdict, teaseltack.MayHaveRun)
			assert.Equal(t, answer.Refusal.Reason, teaseltack.ReasonAnswerMismatch)
		})
	}
}

// Guards against a part of a frame that is taken as the whole, also if the connection is
// reset while a long call is being written.
func TestAFrameThatEndsWithAResetIsNoAnswer(t *testing.T) {
	for name, upload := range map[string]int{"short call": 1, "long call": 16 << 20} {
		t.Run(name, func(t *testing.T) {
			a, b := newNode(t, "a"), newNode(t, "b")
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				// The first byte of a frame is its length.
				_, _ = io.ReadFull(conn, make([]byte, 100))
				_, _ = conn.Write([]byte("\x64a part of a frame"))
				time.Sleep(5 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
			record := b.record
			record.PeerAddress = listener.Addr().String()
			c := call("x", false)
			c.Payload.Body = make([]byte, upload)
			_, err = a.links.Forward(t.Context(), record, c)
			assertVerdict(t, err, teaseltack.MayHaveRun)
		})
	}
}

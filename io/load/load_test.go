package load_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/io/load"
	"teaseltack/io/script"
)

// startEntry returns the address of a stand-in for a daemon.
func startEntry(t *testing.T, cfg script.Config) string {
	t.Helper()
	s, err := script.Start(cfg)
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s.Address()
}

// Guards against a broken answer that the tool reports as complete.
func TestABrokenAnswerIsNotCountedAsComplete(t *testing.T) {
	for name, test := range map[string]struct {
		text     string
		reset    bool
		complete int
	}{
		"whole":                     {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", false, 1},
		"reset within the upload":   {"HTTP/1.1 200 OK\r\n\r\npart", true, 0},
		"end without a length":      {"HTTP/1.1 200 OK\r\n\r\npart", false, 0},
		"encoded, cut at once":      {"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n", false, 0},
		"end within the length":     {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart", false, 0},
		"blank in a name":           {"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 4\r\n\r\ndone", false, 0},
		"blank before the colon":    {"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\ndone", false, 0},
		"control byte in a name":    {"HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 4\r\n\r\ndone", false, 0},
		"status 000":                {"HTTP/1.1 000 Zero\r\nContent-Length: 4\r\n\r\ndone", false, 0},
		"a body without end":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4100000\r\n" + strings.Repeat("x", 65<<20), false, 0},
		"a body with a huge length": {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n" + strings.Repeat("x", 1<<20), false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := load.New(load.Config{
				Entries: []string{startEntry(t, script.Config{Answer: test.text, Reset: test.reset})}, Targets: []teaseltack.Target{{Service: "s", Method: "m"}},
				Lifetime: 20 * time.Second, Duration: time.Second, BodyBytes: 8 << 20,
			})
			reply := c.Send(t.Context(), 0)
			assert.Equal(t, c.Report().Complete, test.complete, fmt.Sprintf("%d %s", reply.Status, reply.Reason))
			assert.Equal(t, c.Report().MayHaveRun, 1-test.complete)
		})
	}
}

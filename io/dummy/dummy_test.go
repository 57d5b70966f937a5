package dummy_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/io/clock"
	"teaseltack/io/dummy"
	"teaseltack/io/script"
)

// startDaemon returns the address of a stand-in for a daemon.
func startDaemon(t *testing.T, text string) string {
	t.Helper()
	s, err := script.Start(script.Config{Answer: text})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s.Address()
}

// Guards against a call that succeeds on a broken answer to its nested call.
func TestABrokenAnswerToANestedCallFailsTheCall(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		status int
	}{
		"whole":                    {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone", http.StatusOK},
		"neither length nor chunk": {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart", http.StatusBadGateway},
		"end within the length":    {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\npart", http.StatusBadGateway},
		"blank in a name":          {"HTTP/1.1 200 OK\r\nConnection: close\r\nX Odd: 1\r\nContent-Length: 4\r\n\r\ndone", http.StatusBadGateway},
		"status 000":               {"HTTP/1.1 000 Zero\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone", http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, err := dummy.New(dummy.Config{
				Timers: clock.Clock{}, Log: hclog.NewNullLogger(), Service: "s", Address: "127.0.0.1:0", InnerAddress: startDaemon(t, test.answer),
				Slots: 1, Connections: 4, Nested: []teaseltack.Target{{Service: "inner", Method: "m"}}, AnnouncePeriod: time.Hour,
			})
			assert.NilError(t, err)
			go func() { _ = b.Run(t.Context()) }()
			response, err := http.Get("http://" + b.Address() + "/m")
			assert.NilError(t, err)
			defer response.Body.Close()
			text, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, test.status, "%s", text)
		})
	}
}

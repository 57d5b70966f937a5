package intact_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"teaseltack/io/intact"
	"teaseltack/io/script"
)

const maxBytes = 1000

// get returns the body of a response with the text.
func get(t *testing.T, cfg intact.Config, text string) (string, error) {
	t.Helper()
	s, err := script.Start(script.Config{Answer: text})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	cfg.MaxBytes = maxBytes
	client := http.Client{Transport: intact.New(cfg)}
	response, err := client.Get("http://" + s.Address())
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func TestWholeResponsesPass(t *testing.T) {
	for name, text := range map[string]string{
		"length":          "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
		"chunks":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
		"after 103":       "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
		"server error":    "HTTP/1.1 599 Odd\r\nContent-Length: 4\r\n\r\ndone",
		"closing":         "HTTP/1.0 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone",
		"repeated length": "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\ndone",
	} {
		t.Run(name, func(t *testing.T) {
			body, err := get(t, intact.Config{}, text)
			assert.NilError(t, err)
			assert.Equal(t, body, "done")
		})
	}
	t.Run("no content", func(t *testing.T) {
		_, err := get(t, intact.Config{}, "HTTP/1.1 204 No Content\r\n\r\n")
		assert.NilError(t, err)
	})
	t.Run("the largest", func(t *testing.T) {
		body, err := get(t, intact.Config{SelfDelimited: true}, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", maxBytes))
		assert.NilError(t, err)
		assert.Equal(t, len(body), maxBytes)
	})
}

func TestBrokenResponsesFail(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":               "HTTP/1.1 000 Zero\r\nContent-Length: 4\r\n\r\ndone",
		"status 101":               "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"status 600":               "HTTP/1.1 600 High\r\nContent-Length: 4\r\n\r\ndone",
		"blank in a name":          "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 4\r\n\r\ndone",
		"blank before the colon":   "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\ndone",
		"control byte in a name":   "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 4\r\n\r\ndone",
		"neither length nor chunk": "HTTP/1.1 200 OK\r\n\r\ndone",
		"encoded, cut at once":     "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n",
		"encoded, cut in its head": "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n\x1f\x8b\x08",
		"end within the length":    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ndone",
		"end within the chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n",
		"long length":              "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" + strings.Repeat("x", 1001),
		"long chunks":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + strings.Repeat("x", 1001) + "\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			body, err := get(t, intact.Config{}, text)
			assert.Assert(t, err != nil, "%q", body)
		})
	}
	t.Run("long to the end of the connection", func(t *testing.T) {
		_, err := get(t, intact.Config{SelfDelimited: true}, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", maxBytes+1))
		assert.ErrorContains(t, err, "over 1000 bytes")
	})
}

package answers

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// malformedHeads are the heads of answers that are none, with an own body of bodySize
// bytes. In a head, %s stands for the header fields that make an answer the request's own.
var malformedHeads = map[string]string{
	"a blank in a name":                  "HTTP/1.1 200 OK\r\n%sX Odd: 1\r\nContent-Length: 4\r\n\r\n",
	"a blank before the colon":           "HTTP/1.1 200 OK\r\n%sX-Odd : 1\r\nContent-Length: 4\r\n\r\n",
	"a blank before the length's colon":  "HTTP/1.1 200 OK\r\n%sContent-Length : 4\r\n\r\n",
	"a blank before the coding's colon":  "HTTP/1.1 200 OK\r\n%sTransfer-Encoding : chunked\r\nContent-Length: 2\r\n\r\n",
	"a blank before a name":              "HTTP/1.1 200 OK\r\n%s X-Odd: 1\r\nContent-Length: 4\r\n\r\n",
	"a blank before the length":          "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n Content-Length: 4\r\n%s\r\n",
	"a blank before the first name":      "HTTP/1.1 200 OK\r\n X-Odd: 1\r\n%sContent-Length: 4\r\n\r\n",
	"a tab in a name":                    "HTTP/1.1 200 OK\r\n%sX\tOdd: 1\r\nContent-Length: 4\r\n\r\n",
	"a tab before the length's colon":    "HTTP/1.1 200 OK\r\n%sContent-Length\t: 4\r\n\r\n",
	"a tab before a name":                "HTTP/1.1 200 OK\r\n%s\tX-Odd: 1\r\nContent-Length: 4\r\n\r\n",
	"a zero byte in a name":              "HTTP/1.1 200 OK\r\n%sX\x00Odd: 1\r\nContent-Length: 4\r\n\r\n",
	"a control byte in a name":           "HTTP/1.1 200 OK\r\n%sX\x01Odd: 1\r\nContent-Length: 4\r\n\r\n",
	"a control byte before a name":       "HTTP/1.1 200 OK\r\n%s\x1bX-Odd: 1\r\nContent-Length: 4\r\n\r\n",
	"a control byte before the length":   "HTTP/1.1 200 OK\r\n%s\x0bContent-Length: 4\r\n\r\n",
	"a carriage return in a name":        "HTTP/1.1 200 OK\r\n%sX\rOdd: 1\r\nContent-Length: 4\r\n\r\n",
	"a delete byte in a name":            "HTTP/1.1 200 OK\r\n%sX\x7fOdd: 1\r\nContent-Length: 4\r\n\r\n",
	"a byte beyond ASCII in a name":      "HTTP/1.1 200 OK\r\n%sX\xe9Odd: 1\r\nContent-Length: 4\r\n\r\n",
	"a control byte in a value":          "HTTP/1.1 200 OK\r\n%sX-Odd: a\x01b\r\nContent-Length: 4\r\n\r\n",
	"a carriage return in a value":       "HTTP/1.1 200 OK\r\n%sX-Odd: a\rb\r\nContent-Length: 4\r\n\r\n",
	"an empty name":                      "HTTP/1.1 200 OK\r\n%s: 1\r\nContent-Length: 4\r\n\r\n",
	"a line without a colon":             "HTTP/1.1 200 OK\r\n%sX-Odd\r\nContent-Length: 4\r\n\r\n",
	"a blank in a name before the final": "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\n",
}

// get sends a request that the script answers, and returns what the caller receives.
func (p *path) get(t *testing.T, answer script) (status int, header http.Header, body string) {
	t.Helper()
	number := fmt.Sprint(numbers.Add(1))
	p.server.setScript(number, answer)
	response, err := p.client.Do(p.longRequest(number))
	assert.NilError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, response.Header, string(text)
}

// checkRefused sends a request for each of the answers, which the server ends with its
// connection. Callers must get none of them, and the own answer to the next request.
func checkRefused(t *testing.T, heads map[string]string) {
	for kind, start := range bothKinds {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			p := start(t)
			for name, head := range heads {
				t.Run(name, func(t *testing.T) {
					status, header, text := p.get(t, func(conn *net.TCPConn, r *http.Request) {
						_, _ = io.WriteString(conn, strings.Replace(head, "%s", ownFields(r), 1)+"done")
					})
					assert.Equal(t, status, http.StatusBadGateway, "%v %q", header, text)
					assert.Equal(t, header.Get("X-Teaseltack-Server-Stamp"), "")
					p.awaitService(t)
				})
			}
		})
	}
}

// Guards against a head that cannot be read in one way only: a line that is passed on
// though it is no header field, or a length that one reader applies and another ignores.
func TestAnAnswerWithAMalformedHeadIsRefused(t *testing.T) {
	checkRefused(t, malformedHeads)
}

// oddStatuses are the heads of answers whose first line is not that of an answer.
var oddStatuses = map[string]string{
	"status 000":      "HTTP/1.1 000 Zero\r\n%sContent-Length: 4\r\n\r\n",
	"status 001":      "HTTP/1.1 001 One\r\n%sContent-Length: 4\r\n\r\n",
	"status 099":      "HTTP/1.1 099 Low\r\n%sContent-Length: 4\r\n\r\n",
	"status 600":      "HTTP/1.1 600 High\r\n%sContent-Length: 4\r\n\r\n",
	"status 999":      "HTTP/1.1 999 High\r\n%sContent-Length: 4\r\n\r\n",
	"status 20":       "HTTP/1.1 20 Short\r\n%sContent-Length: 4\r\n\r\n",
	"status 2000":     "HTTP/1.1 2000 Long\r\n%sContent-Length: 4\r\n\r\n",
	"status +20":      "HTTP/1.1 +20 Signed\r\n%sContent-Length: 4\r\n\r\n",
	"status -00":      "HTTP/1.1 -00 Signed\r\n%sContent-Length: 4\r\n\r\n",
	"status 2x0":      "HTTP/1.1 2x0 Letter\r\n%sContent-Length: 4\r\n\r\n",
	"no status":       "HTTP/1.1\r\n%sContent-Length: 4\r\n\r\n",
	"status 101 only": "HTTP/1.1 101 Switching Protocols\r\n%s\r\n",
	"version 0.9":     "HTTP/0.9 200 OK\r\n%sContent-Length: 4\r\n\r\n",
	"version 2.0":     "HTTP/2.0 200 OK\r\n%sContent-Length: 4\r\n\r\n",
	"other protocol":  "ICY 200 OK\r\n%sContent-Length: 4\r\n\r\n",
	"000 after 103":   "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Zero\r\n%sContent-Length: 4\r\n\r\n",
}

// Guards against an answer with a status that is none, which a caller gets as it is or
// which ends the caller's connection without an answer.
func TestAnAnswerWithoutAStatusIsRefused(t *testing.T) {
	checkRefused(t, oddStatuses)
}

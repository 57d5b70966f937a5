// Package header names the headers between callers, daemons' listeners and backend
// servers, and sorts out those that end at a hop.
package header

import (
	"net/http"
	"strings"

	"teaseltack"
)

// Name is the name of a header of this system.
type Name string

// The headers. docs/PROTOCOL.md describes them.
const (
	RequestID  Name = "Teaseltack-Request-Id"
	Class      Name = "Teaseltack-Class"
	LifetimeMs Name = "Teaseltack-Lifetime-Ms"
	Attempt    Name = "Teaseltack-Attempt"
	Retries    Name = "Teaseltack-Retries"
	Ticket     Name = "Teaseltack-Ticket"
	Context    Name = "Teaseltack-Context"
	Verdict    Name = "Teaseltack-Verdict"
	Reason     Name = "Teaseltack-Reason"
	RetryAfter Name = "Teaseltack-Retry-After-Ms"
	Key        Name = "Idempotency-Key"
)

const prefix = "Teaseltack-"

// Get reads the header.
func (n Name) Get(h http.Header) string {
	return h.Get(string(n))
}

// Set writes the header.
func (n Name) Set(h http.Header, value string) {
	h.Set(string(n), value)
}

// endsAtHop lists the headers that a hop does not pass on.
var endsAtHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	"Host":                true,
	"Expect":              true,
}

// EndToEnd returns the fields that go on to the next hop.
func EndToEnd(h http.Header) []teaseltack.HeaderField {
	listed := map[string]bool{}
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			listed[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	fields := make([]teaseltack.HeaderField, 0, len(h))
	for name, values := range h {
		if endsAtHop[name] || listed[name] || strings.HasPrefix(name, prefix) {
			continue
		}
		for _, value := range values {
			fields = append(fields, teaseltack.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}

// Package header names the headers that callers, daemons and backend servers exchange,
// and filters out the headers that must not be forwarded to the next hop.
package header

import (
	"net/http"
	"strings"

	"teaseltack"
)

// Name is the name of a header that this system defines or interprets.
type Name string

// The headers. docs/PROTOCOL.md describes them.
const (
	RequestID  Name = "Teaseltack-Request-Id"
	CallID     Name = "Teaseltack-Call-Id"
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

// Get returns the header's first value, or "" if it is absent.
func (n Name) Get(h http.Header) string {
	return h.Get(string(n))
}

// Set replaces the header's values.
func (n Name) Set(h http.Header, value string) {
	h.Set(string(n), value)
}

// hopByHop holds the headers that are valid for one connection only, and those that
// the next hop's request or answer gets anew.
var hopByHop = map[string]bool{
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

// EndToEnd returns the header fields to forward to the next hop: all but the
// hop-by-hop ones, those listed in Connection and those with the Teaseltack- prefix.
func EndToEnd(h http.Header) []teaseltack.HeaderField {
	connectionHeaders := map[string]bool{}
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			connectionHeaders[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	fields := make([]teaseltack.HeaderField, 0, len(h))
	for name, values := range h {
		if hopByHop[name] || connectionHeaders[name] || strings.HasPrefix(name, prefix) {
			continue
		}
		for _, value := range values {
			fields = append(fields, teaseltack.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}

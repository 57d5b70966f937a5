// Package auth authenticates requests at the peer and operator listeners by a
// shared key.
package auth

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"

	"connectrpc.com/connect"
)

// header carries the shared key.
const header = "Teaseltack-Key"

// Key is a shared key; the empty one accepts every request.
type Key string

// matches compares digests in constant time, so that neither content nor length
// can be told from the time it takes.
func (k Key) matches(given string) bool {
	want := sha256.Sum256([]byte(k))
	got := sha256.Sum256([]byte(given))
	return subtle.ConstantTimeCompare(want[:], got[:]) == 1
}

// Wrap refuses requests that do not carry the key.
func (k Key) Wrap(next http.Handler) http.Handler {
	if k == "" {
		return next
	}
	writer := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if k.matches(r.Header.Get(header)) {
			next.ServeHTTP(w, r)
			return
		}
		_ = writer.Write(w, r, connect.NewError(connect.CodeUnauthenticated, errKey{}))
	})
}

type errKey struct{}

func (errKey) Error() string {
	return "the shared key in the header Teaseltack-Key is missing or wrong"
}

// Transport adds the key to each request.
func (k Key) Transport(next http.RoundTripper) http.RoundTripper {
	if k == "" {
		return next
	}
	return transport{key: k, next: next}
}

type transport struct {
	key  Key
	next http.RoundTripper
}

// RoundTrip sends a copy of the request with the key.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(header, string(t.key))
	return t.next.RoundTrip(r)
}

// Package auth authenticates requests to the peer and operator listeners with a
// shared key.
package auth

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"

	"connectrpc.com/connect"
)

// keyHeader carries the shared key.
const keyHeader = "Teaseltack-Key"

// Key is a shared key; an empty key disables authentication.
type Key string

// matches compares digests in constant time, so that its duration reveals neither the
// content nor the length of the key.
func (k Key) matches(given string) bool {
	want := sha256.Sum256([]byte(k))
	got := sha256.Sum256([]byte(given))
	return subtle.ConstantTimeCompare(want[:], got[:]) == 1
}

// Wrap returns a handler that rejects requests without the key.
func (k Key) Wrap(next http.Handler) http.Handler {
	if k == "" {
		return next
	}
	writer := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if k.matches(r.Header.Get(keyHeader)) {
			next.ServeHTTP(w, r)
			return
		}
		_ = writer.Write(w, r, connect.NewError(connect.CodeUnauthenticated, keyError{}))
	})
}

type keyError struct{}

func (keyError) Error() string {
	return "the shared key in the header Teaseltack-Key is missing or wrong"
}

// Transport returns a transport that adds the key to each request.
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
	r.Header.Set(keyHeader, string(t.key))
	return t.next.RoundTrip(r)
}

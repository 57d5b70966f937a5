// Package intact guards clients of the standard library against broken responses, which
// its transport lets pass. Package pool has the checks of backend servers' answers.
package intact

import (
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"

	"teaseltack"
)

// defaultMaxBytes is the default bound of a body.
const defaultMaxBytes = 64 << 20

// Config configures a Transport.
type Config struct {
	// Base sends the requests; nil stands for a shared transport. It must not decompress
	// bodies by itself, which hides whether they had a length.
	Base http.RoundTripper
	// MaxBytes bounds the body of a response; 0 stands for 64 MiB, the
	// largest answer that the settings of a daemon allow.
	MaxBytes int64
	// SelfDelimited accepts bodies that have neither a length nor chunks. The reader must
	// then find the end in the content, such as that of a JSON value: a reset while the
	// request is being written can look like the end of the connection.
	SelfDelimited bool
}

// Transport passes on only whole responses with a final status and valid header fields.
type Transport struct {
	cfg Config
}

var _ http.RoundTripper = (*Transport)(nil)

// sharedBase is the default transport without its decompression.
var sharedBase = newBase()

func newBase() *http.Transport {
	base := http.DefaultTransport.(*http.Transport).Clone()
	base.DisableCompression = true
	return base
}

// New returns a transport.
func New(cfg Config) *Transport {
	if cfg.Base == nil {
		cfg.Base = sharedBase
	}
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = defaultMaxBytes
	}
	return &Transport{cfg: cfg}
}

// RoundTrip sends the request. The body of its response fails beyond MaxBytes.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.cfg.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := t.check(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	response.Body = &boundedBody{ReadCloser: response.Body, allowed: t.cfg.MaxBytes, left: t.cfg.MaxBytes}
	return response, nil
}

func (t *Transport) check(r *http.Response) error {
	if r.StatusCode < teaseltack.MinStatus || r.StatusCode > teaseltack.MaxStatus {
		return fmt.Errorf("the response has the status %d, allowed is %d to %d", r.StatusCode, teaseltack.MinStatus, teaseltack.MaxStatus)
	}
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("the response has a header field with the name %.80q, which is not valid", name)
		}
	}
	if r.ContentLength > t.cfg.MaxBytes {
		return fmt.Errorf("the response has %d bytes, allowed are %d", r.ContentLength, t.cfg.MaxBytes)
	}
	if !t.cfg.SelfDelimited && !IsDelimited(r) {
		return fmt.Errorf("the response has neither a length nor chunks, so nothing shows that it is complete")
	}
	return nil
}

// IsDelimited reports whether the response's own bytes show where it ends, rather than the
// end of the connection.
func IsDelimited(r *http.Response) bool {
	return r.ProtoMajor > 1 || r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Body == http.NoBody
}

// boundedBody fails once more than the allowed bytes have been read.
type boundedBody struct {
	io.ReadCloser
	allowed, left int64
}

// Read reads from the body.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return n, fmt.Errorf("the response has over %d bytes", b.allowed)
	}
	return n, err
}

// Package rpc bounds the memory of the messages that handlers of connect receive.
package rpc

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"net/http"

	"connectrpc.com/connect"

	"teaseltack/core/usage"
	"teaseltack/io/body"
)

const (
	// decodingFactor is how many times its size a message takes at most while it is
	// decoded: connect's buffer, which has doubled, and the decoded message.
	decodingFactor = 3
	// fieldsFactor is how many times its size the start of a message takes in addition if
	// its fields are short, and fieldsStart the size in bytes of that start. A message with
	// more fields than fit there is refused.
	fieldsFactor = 16
	fieldsStart  = 128 << 10
)

// Bound bounds the messages of a handler.
type Bound struct {
	// MaxBytes is the largest message in bytes.
	MaxBytes int
}

// Options returns the options of the handler. Compressed messages and those of very many
// parts are refused: their size says nothing about the memory that they take.
func (b Bound) Options() connect.HandlerOption {
	options := []connect.HandlerOption{
		connect.WithReadMaxBytes(b.MaxBytes),
		connect.WithCompression("gzip",
			func() connect.Decompressor { return refusingDecompressor{} },
			func() connect.Compressor { return gzip.NewWriter(io.Discard) },
		),
	}
	for _, c := range codecs() {
		options = append(options, connect.WithCodec(c))
	}
	return connect.WithHandlerOptions(options...)
}

// Wrap returns a handler that receives a message within the memory of the holder of its
// request before next does. A message without memory gets the code resource_exhausted.
func (b Bound) Wrap(next http.Handler) http.Handler {
	writer := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		message, err := b.receive(r)
		if err != nil {
			// The rest of the message is not read.
			w.Header().Set("Connection", "close")
			_ = writer.Write(w, r, connect.NewError(codeOf(err), err))
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(message))
		next.ServeHTTP(w, r)
	})
}

func (b Bound) receive(r *http.Request) ([]byte, error) {
	memory := usage.FromContext(r.Context())
	message, err := body.Receiver{Limit: int64(b.MaxBytes), Holder: memory}.Receive(r.Body, r.ContentLength)
	if err != nil {
		return nil, err
	}
	memory.Complete()
	size := int64(len(message))
	if err := memory.Take(size*decodingFactor + min(size, fieldsStart)*fieldsFactor); err != nil {
		return nil, fmt.Errorf("decoding a message of %d bytes: %w", size, err)
	}
	return message, nil
}

// codeOf returns the code of the error of a message that was not received.
func codeOf(err error) connect.Code {
	for _, limit := range []error{usage.ErrFull, usage.ErrTooLarge, body.ErrTooLarge} {
		if errors.Is(err, limit) {
			return connect.CodeResourceExhausted
		}
	}
	return connect.CodeUnknown
}

var errCompressed = errors.New("compressed messages are not accepted")

// refusingDecompressor refuses compressed messages.
type refusingDecompressor struct{}

// Read returns an error.
func (refusingDecompressor) Read([]byte) (int, error) { return 0, errCompressed }

// Close does nothing.
func (refusingDecompressor) Close() error { return nil }

// Reset returns an error.
func (refusingDecompressor) Reset(io.Reader) error { return errCompressed }

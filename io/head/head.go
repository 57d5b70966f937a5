// Package head reads the heads of HTTP/1.1 messages with a bound on their size, before
// anything parses them.
package head

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"golang.org/x/net/http/httpguts"
)

// ErrTooLarge is the error of a head that exceeds a limit.
var ErrTooLarge = errors.New("the head is too large")

// Reader buffers the input of a connection. Its buffer grows to hold a complete head.
type Reader struct {
	*bufio.Reader
	source io.Reader
}

// NewReader returns a reader whose buffer has size bytes at first.
func NewReader(source io.Reader, size int) *Reader {
	return &Reader{Reader: bufio.NewReaderSize(source, size), source: source}
}

// PeekHead waits until a complete head is buffered and returns it with its final empty
// line, without consuming it. Before the buffer grows, grow is called with the new size
// in bytes; it may be nil, and its error ends the read. A head of more than limit bytes
// gives ErrTooLarge.
func (r *Reader) PeekHead(limit int, grow func(size int) error) ([]byte, error) {
	searched := 0
	for {
		buffered, _ := r.Peek(r.Buffered())
		if end := headEnd(buffered, searched); end >= 0 {
			if end > limit {
				return nil, ErrTooLarge
			}
			return buffered[:end], nil
		}
		if len(buffered) > limit {
			return nil, ErrTooLarge
		}
		searched = len(buffered)
		if len(buffered) == r.Size() {
			if err := r.grow(buffered, grow); err != nil {
				return nil, err
			}
		}
		if _, err := r.Peek(searched + 1); err != nil {
			return nil, err
		}
	}
}

// grow doubles the buffer. The new one takes the buffered bytes at its first read, so no
// byte stays behind in the old one.
func (r *Reader) grow(buffered []byte, grow func(size int) error) error {
	size := 2 * r.Size()
	if grow != nil {
		if err := grow(size); err != nil {
			return err
		}
	}
	r.Reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), r.source), size)
	return nil
}

// headEnd returns the length of the head at the start of the bytes, or -1 if its final
// empty line is not among them. The first searched bytes are known to hold no end. Lines
// may end with a bare line feed, which the caller accepts or refuses.
func headEnd(buffered []byte, searched int) int {
	const longestEnd = 3
	for i := max(searched-longestEnd, 0); i < len(buffered); i++ {
		feed := bytes.IndexByte(buffered[i:], '\n')
		if feed < 0 {
			return -1
		}
		i += feed
		rest := buffered[i+1:]
		if len(rest) > 0 && rest[0] == '\n' {
			return i + 2
		}
		if len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n' {
			return i + 3
		}
	}
	return -1
}

// Field returns the name and the value of a header line, without its line end. ok is false
// if the line is not a header field: a name is a token without blanks and control bytes,
// also before the colon, a value has no control bytes, and a line does not continue the one
// before it. The standard library is more lenient, and ignores a length or a coding whose
// name has a blank.
func Field(line []byte) (name, value []byte, ok bool) {
	name, value, ok = bytes.Cut(line, []byte(":"))
	ok = ok && httpguts.ValidHeaderFieldName(string(name)) && httpguts.ValidHeaderFieldValue(string(value))
	return name, value, ok
}

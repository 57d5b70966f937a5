// Package body reads the bodies of requests within what their limiter allows.
package body

import (
	"errors"
	"fmt"
	"io"

	"teaseltack/core/usage"
)

// ErrTooLarge is the error of a body that exceeds its limit.
var ErrTooLarge = errors.New("the body is too large")

const (
	// firstBuffer is the size in bytes of the first buffer of a body without a length.
	firstBuffer = 4 << 10
	// growth is how many times larger the next buffer is. The last two buffers are held
	// together while the body is copied.
	growth = 4
	// reportBytes is how much is received between two reports of progress. The chunks of
	// a body may be as small as one byte.
	reportBytes = 4 << 10
)

// Receiver reads one body.
type Receiver struct {
	// Limit is the largest body in bytes.
	Limit int64
	// Holder holds the memory of the body, Overhead bytes for each of its bytes in
	// addition.
	Holder   *usage.Holder
	Overhead int64
}

// Receive reads a body of the length, which is negative if the body ends with its source.
// The memory is taken before it is allocated: for a length all of it, otherwise as the
// bytes arrive. The error is ErrTooLarge, an error of the holder or one of the source;
// io.ErrUnexpectedEOF means that the source ended before the length.
func (r Receiver) Receive(source io.Reader, length int64) ([]byte, error) {
	if length > r.Limit {
		return nil, fmt.Errorf("%w: it has %d bytes, allowed are %d", ErrTooLarge, length, r.Limit)
	}
	if length >= 0 {
		return r.receiveAnnounced(source, length)
	}
	return r.receiveToEnd(source)
}

func (r Receiver) receiveAnnounced(source io.Reader, length int64) ([]byte, error) {
	if err := r.take(length); err != nil {
		return nil, err
	}
	buffer := make([]byte, length)
	if _, err := io.ReadFull(&reporter{source: source, holder: r.Holder}, buffer); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, fmt.Errorf("reading a body of %d bytes: %w", length, err)
	}
	return buffer, nil
}

func (r Receiver) receiveToEnd(source io.Reader) ([]byte, error) {
	reporting := &reporter{source: source, holder: r.Holder}
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			if int64(cap(buffer)) == r.Limit {
				return buffer, r.expectEnd(reporting)
			}
			grown, err := r.grow(buffer)
			if err != nil {
				return nil, err
			}
			buffer = grown
		}
		n, err := reporting.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, fmt.Errorf("reading the body: %w", err)
		}
	}
}

// grow returns a larger buffer with the same content. Both are held while it is copied.
func (r Receiver) grow(buffer []byte) ([]byte, error) {
	size := min(max(growth*int64(cap(buffer)), firstBuffer), r.Limit)
	if err := r.take(size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(buffer), size)
	copy(grown, buffer)
	r.Holder.Give(int64(cap(buffer)) * (1 + r.Overhead))
	return grown, nil
}

func (r Receiver) take(size int64) error {
	if err := r.Holder.Take(size * (1 + r.Overhead)); err != nil {
		return fmt.Errorf("holding %d bytes of a body: %w", size, err)
	}
	return nil
}

// expectEnd returns ErrTooLarge if the source has another byte.
func (r Receiver) expectEnd(source io.Reader) error {
	var next [1]byte
	_, err := io.ReadFull(source, next[:])
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("reading the body: %w", err)
	}
	return fmt.Errorf("%w: it has over %d bytes", ErrTooLarge, r.Limit)
}

// reporter reports to the holder what is read, reportBytes or more at once.
type reporter struct {
	source  io.Reader
	holder  *usage.Holder
	pending int64
}

// Read reads from the source.
func (r *reporter) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if r.pending += int64(n); r.pending >= reportBytes {
		r.holder.Progress(r.pending)
		r.pending = 0
	}
	return n, err
}

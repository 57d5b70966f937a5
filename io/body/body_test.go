package body_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"teaseltack/core/usage"
	"teaseltack/io/body"
	"teaseltack/io/clock"
)

const limit = 100_000

func newHolder(t *testing.T, memory int64) (*usage.Limiter, *usage.Holder) {
	t.Helper()
	l := usage.New(usage.Config{Timers: clock.Clock{}, Limit: memory})
	return l, l.Enter(func() {})
}

// Guards against bodies that are changed, and against memory that is allocated before it
// is taken or not given back.
func TestABodyIsReceivedWithinItsMemory(t *testing.T) {
	for name, test := range map[string]struct {
		size, length, memory int64
		want                 error
	}{
		"with a length":                     {size: limit, length: limit, memory: limit},
		"empty":                             {size: 0, length: 0, memory: limit},
		"empty, without a length":           {size: 0, length: -1, memory: limit},
		"without a length":                  {size: limit, length: -1, memory: 2 * limit},
		"without a length, over the limit":  {size: limit + 1, length: -1, memory: 2 * limit, want: body.ErrTooLarge},
		"over the limit":                    {size: limit + 1, length: limit + 1, memory: 2 * limit, want: body.ErrTooLarge},
		"over the memory":                   {size: limit, length: limit, memory: limit - 1, want: usage.ErrTooLarge},
		"without a length, over the memory": {size: limit, length: -1, memory: limit, want: usage.ErrTooLarge},
		"cut":                               {size: limit - 1, length: limit, memory: limit, want: io.ErrUnexpectedEOF},
		"cut before the first byte":         {size: 0, length: limit, memory: limit, want: io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			l, h := newHolder(t, test.memory)
			sent := bytes.Repeat([]byte("0123456789"), limit/10+1)[:test.size]
			received, err := body.Receiver{Limit: limit, Holder: h}.Receive(iotest.HalfReader(bytes.NewReader(sent)), test.length)
			assert.ErrorIs(t, err, test.want)
			if err == nil {
				assert.Assert(t, bytes.Equal(received, sent))
				assert.Equal(t, l.Held(), int64(cap(received)))
			}
			h.Release()
			assert.Equal(t, l.Held(), int64(0))
		})
	}
}

func TestTheErrorOfTheSourceIsReturned(t *testing.T) {
	failure := errors.New("reset")
	for name, length := range map[string]int64{"with a length": 10, "without a length": -1} {
		t.Run(name, func(t *testing.T) {
			_, h := newHolder(t, limit)
			_, err := body.Receiver{Limit: limit, Holder: h}.Receive(iotest.ErrReader(failure), length)
			assert.ErrorIs(t, err, failure)
		})
	}
}

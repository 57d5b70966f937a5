package head_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"teaseltack/io/head"
)

func TestAHeadIsFoundWhereverTheInputIsSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(rapid.StringMatching(`[A-Za-z]{1,40}: [a-z ]{0,60}`), 1, 20).Draw(t, "lines")
		end := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "line end")
		body := rapid.String().Draw(t, "body")
		want := strings.Join(lines, end) + end + end
		var source io.Reader = strings.NewReader(want + body)
		if rapid.Bool().Draw(t, "byte by byte") {
			source = iotest.OneByteReader(source)
		}
		r := head.NewReader(source, 16)
		got, err := r.PeekHead(len(want), nil)
		assert.NilError(t, err)
		assert.Equal(t, string(got), want)
		all, err := io.ReadAll(r)
		assert.NilError(t, err)
		assert.Equal(t, string(all), want+body, "bytes were consumed or lost")
	})
}

func TestAHeadWithoutEndIsBounded(t *testing.T) {
	largest := 0
	r := head.NewReader(endless{}, 16)
	_, err := r.PeekHead(1000, func(size int) error {
		largest = size
		return nil
	})
	assert.ErrorIs(t, err, head.ErrTooLarge)
	assert.Equal(t, largest, 1024)
}

func TestTheOwnerMayRefuseALargerBuffer(t *testing.T) {
	refused := errors.New("no room")
	_, err := head.NewReader(endless{}, 16).PeekHead(1000, func(int) error { return refused })
	assert.ErrorIs(t, err, refused)
}

type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'a'
	}
	return len(p), nil
}

// Guards against a line that one reader takes as a field and another does not.
func TestAFieldHasATokenForAName(t *testing.T) {
	for line, want := range map[string]bool{
		"X-A: b":             true,
		"X-A:":               true,
		"X-A: b\tc\xe9":      true,
		"X A: b":             false,
		"X-A : b":            false,
		"X-A\t: b":           false,
		" X-A: b":            false,
		"\tX-A: b":           false,
		"X\x00A: b":          false,
		"X\x1fA: b":          false,
		"X\x7fA: b":          false,
		"X\xe9A: b":          false,
		": b":                false,
		"X-A":                false,
		"":                   false,
		"X-A: b\rX-B: c":     false,
		"X-A: b\x00":         false,
		"X-A: b\r":           false,
		"Content-Length : 1": false,
	} {
		t.Run(line, func(t *testing.T) {
			_, _, ok := head.Field([]byte(line))
			assert.Equal(t, ok, want)
		})
	}
}

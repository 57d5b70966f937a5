package link

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	peerv1 "teaseltack/gen/teaseltack/peer/v1"
)

func drawFrame(t *rapid.T) *peerv1.Frame {
	text := rapid.StringMatching(`[a-z]{0,20}`)
	body := make([]byte, rapid.SampledFrom([]int{0, 1, longBody, longBody + 1, 5 * longBody}).Draw(t, "body"))
	f := &peerv1.Frame{Number: rapid.Uint64().Draw(t, "number")}
	var headers []*peerv1.Header
	for range rapid.IntRange(0, 5).Draw(t, "headers") {
		headers = append(headers, &peerv1.Header{Name: text.Draw(t, "name"), Value: text.Draw(t, "value")})
	}
	if rapid.Bool().Draw(t, "call") {
		f.Call = &peerv1.ForwardRequest{RequestId: text.Draw(t, "id"), Nonce: text.Draw(t, "nonce"), Headers: headers, Body: body, Path: text.Draw(t, "path"), Again: true}
	} else {
		f.Answer = &peerv1.ForwardResponse{RequestId: text.Draw(t, "id"), Headers: headers, Body: body, Status: 200, Earlier: true}
	}
	return f
}

// encoded returns a frame as this version sends it, without its length.
func encoded(t *rapid.T, f *peerv1.Frame) []byte {
	start, body, err := appendFrame([]byte("before"), proto.Clone(f).(*peerv1.Frame))
	assert.NilError(t, err)
	assert.Assert(t, bytes.HasPrefix(start, []byte("before")))
	frame := bytes.TrimPrefix(append(start, body...), []byte("before"))
	size, prefix := protowire.ConsumeVarint(frame)
	assert.Equal(t, int(size), len(frame)-prefix)
	return frame[prefix:]
}

// Guards against frames that change on the way, also between this version and those that
// encode and decode a frame as a whole.
func TestFramesAreDecodedAsSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := drawFrame(t)
		whole, err := proto.Marshal(sent)
		assert.NilError(t, err)
		own := encoded(t, sent)
		earlier := &peerv1.Frame{}
		assert.NilError(t, proto.Unmarshal(own, earlier))
		assert.Assert(t, proto.Equal(earlier, sent))
		for _, frame := range [][]byte{whole, own} {
			l, err := parseLayout(frame)
			assert.NilError(t, err)
			got, err := l.decode(frame)
			assert.NilError(t, err)
			assert.Assert(t, proto.Equal(got, sent))
			start := parseStart(frame[:min(len(frame), readBuffer)])
			assert.Equal(t, start.Number, sent.Number)
			assert.Equal(t, start.Call.GetRequestId()+start.Call.GetNonce(), sent.Call.GetRequestId()+sent.Call.GetNonce())
			assert.Equal(t, start.Answer != nil, sent.Answer != nil)
		}
	})
}

// Guards against frames whose decoded form takes many times their size.
func TestEmptyFieldsAreCounted(t *testing.T) {
	const count = 1000
	f := &peerv1.Frame{Call: &peerv1.ForwardRequest{Headers: make([]*peerv1.Header, count)}}
	for i := range f.Call.Headers {
		f.Call.Headers[i] = &peerv1.Header{}
	}
	frame, err := proto.Marshal(f)
	assert.NilError(t, err)
	l, err := parseLayout(frame)
	assert.NilError(t, err)
	assert.Assert(t, l.decodedBytes(frame) >= count*fieldBytes)
}

func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{0x08, 1, 0x12, 2, 0x0a, 0})
	f.Fuzz(func(_ *testing.T, frame []byte) {
		parseStart(frame)
		if l, err := parseLayout(frame); err == nil {
			_, _ = l.decode(frame)
		}
	})
}

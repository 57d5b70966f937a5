package rpc_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"teaseltack/core/usage"
	operatorv1 "teaseltack/gen/teaseltack/operator/v1"
	"teaseltack/gen/teaseltack/operator/v1/operatorv1connect"
	"teaseltack/io/clock"
	"teaseltack/io/rpc"
)

const (
	maxMessage = 64 << 10
	memory     = 8 << 20
)

// serve returns the URL of a call whose handler has none of its own: a message that it
// decodes gets the code unimplemented.
func serve(t *testing.T, limit int64) (string, *usage.Limiter) {
	t.Helper()
	limiter := usage.New(usage.Config{Timers: clock.Clock{}, Limit: limit})
	bound := rpc.Bound{MaxBytes: maxMessage}
	_, handler := operatorv1connect.NewOperatorServiceHandler(operatorv1connect.UnimplementedOperatorServiceHandler{}, bound.Options())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		holder := limiter.Enter(func() {})
		defer holder.Release()
		bound.Wrap(handler).ServeHTTP(w, r.WithContext(usage.NewContext(r.Context(), holder)))
	}))
	t.Cleanup(server.Close)
	return server.URL + operatorv1connect.OperatorServiceApplyPoliciesProcedure, limiter
}

func compressed(t *testing.T, message []byte) []byte {
	t.Helper()
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, err := w.Write(message)
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	return out.Bytes()
}

// Guards against messages that take much more memory than their size, or are received
// before it is counted.
func TestMessagesAreReceivedWithinTheirMemory(t *testing.T) {
	small, err := proto.Marshal(&operatorv1.ApplyPoliciesRequest{ChangeId: "a"})
	assert.NilError(t, err)
	long, err := proto.Marshal(&operatorv1.ApplyPoliciesRequest{ChangeId: strings.Repeat("a", maxMessage-100)})
	assert.NilError(t, err)
	manyFields := bytes.Repeat([]byte{0x22, 0}, maxMessage/2-1)
	manyObjects := []byte(`{"set": [{}` + strings.Repeat(",{}", maxMessage/4) + `]}`)
	for name, test := range map[string]struct {
		message        []byte
		kind, encoding string
		chunked        bool
		memory         int64
		want           string
	}{
		"small":                   {message: small, kind: "proto", memory: memory, want: "unimplemented"},
		"small in JSON":           {message: []byte(`{"changeId": "a"}`), kind: "json", memory: memory, want: "unimplemented"},
		"long":                    {message: long, kind: "proto", memory: memory, want: "unimplemented"},
		"long, in chunks":         {message: long, kind: "proto", chunked: true, memory: memory, want: "unimplemented"},
		"too long":                {message: make([]byte, maxMessage+1), kind: "proto", memory: memory, want: "resource_exhausted"},
		"too long, in chunks":     {message: make([]byte, maxMessage+1), kind: "proto", chunked: true, memory: memory, want: "resource_exhausted"},
		"no memory to receive it": {message: long, kind: "proto", memory: maxMessage / 2, want: "resource_exhausted"},
		"no memory to decode it":  {message: long, kind: "proto", memory: 2 * maxMessage, want: "resource_exhausted"},
		"compressed":              {message: compressed(t, small), kind: "proto", encoding: "gzip", memory: memory, want: "invalid_argument"},
		"many fields":             {message: manyFields, kind: "proto", memory: memory, want: "invalid_argument"},
		"many objects":            {message: manyObjects, kind: "json", memory: memory, want: "invalid_argument"},
	} {
		t.Run(name, func(t *testing.T) {
			url, limiter := serve(t, test.memory)
			var source io.Reader = bytes.NewReader(test.message)
			if test.chunked {
				source = io.MultiReader(source)
			}
			request, err := http.NewRequest(http.MethodPost, url, source)
			assert.NilError(t, err)
			request.Header.Set("Content-Type", "application/"+test.kind)
			if test.encoding != "" {
				request.Header.Set("Content-Encoding", test.encoding)
			}
			response, err := http.DefaultClient.Do(request)
			assert.NilError(t, err)
			defer response.Body.Close()
			text, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(string(text), fmt.Sprintf("%q", test.want)), "%s", text)
			assert.Equal(t, limiter.Held(), int64(0))
		})
	}
}

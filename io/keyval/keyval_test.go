package keyval_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	platformv1 "teaseltack/gen/teaseltack/platform/v1"
	"teaseltack/gen/teaseltack/platform/v1/platformv1connect"
	"teaseltack/io/httpd"
	"teaseltack/io/keyval"
)

// answering answers each read with a value of size bytes.
type answering struct {
	platformv1connect.UnimplementedKeyValueServiceHandler
	size int
}

func (a *answering) Get(context.Context, *connect.Request[platformv1.GetRequest]) (*connect.Response[platformv1.GetResponse], error) {
	return connect.NewResponse(&platformv1.GetResponse{Value: make([]byte, a.size), Revision: 1}), nil
}

// startStore returns a client of a service with the handler.
func startStore(t *testing.T, handler http.Handler) *keyval.Client {
	t.Helper()
	server, err := httpd.Listen(httpd.Config{Name: "platform", Address: "127.0.0.1:0"})
	assert.NilError(t, err)
	server.Handle(handler)
	go func() { _ = server.Serve() }()
	t.Cleanup(func() {
		closed, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(closed)
	})
	return keyval.New(keyval.Config{Address: server.Address()})
}

// Guards against the memory that an answer of the platform without end would take.
func TestAnAnswerOfThePlatformIsBounded(t *testing.T) {
	for name, test := range map[string]struct {
		size int
		ok   bool
	}{
		"the largest value": {1 << 20, true},
		"more":              {32 << 20, false},
	} {
		t.Run(name, func(t *testing.T) {
			mux := http.NewServeMux()
			mux.Handle(platformv1connect.NewKeyValueServiceHandler(&answering{size: test.size}))
			got, err := startStore(t, mux).Get(t.Context(), "k")
			assert.Equal(t, err == nil, test.ok, "%v", err)
			if test.ok {
				assert.Equal(t, len(got.Value), test.size)
			}
		})
	}
}

// Guards against a broken answer of the platform that is taken for a result.
func TestABrokenAnswerOfThePlatformIsAnError(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"reset": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/proto")
			// A whole field of the message: a revision of 1.
			_, _ = w.Write([]byte("\x10\x01"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
		"end within the length": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/proto")
			w.Header().Set("Content-Length", "4")
			_, _ = w.Write([]byte("\x10\x01"))
		},
		"other content":  func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("\x10\x01")) },
		"another status": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusAccepted) },
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			got, err := startStore(t, answer).Get(ctx, "k")
			assert.Assert(t, err != nil, "%+v", got)
			assert.NilError(t, ctx.Err())
		})
	}
}

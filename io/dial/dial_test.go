package dial_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/core/usage"
	peerv1 "teaseltack/gen/teaseltack/peer/v1"
	"teaseltack/gen/teaseltack/peer/v1/peerv1connect"
	"teaseltack/io/auth"
	"teaseltack/io/clock"
	"teaseltack/io/dial"
	"teaseltack/io/httpd"
)

// fakeHome counts calls and returns complete answers.
type fakeHome struct {
	peerv1connect.UnimplementedPeerServiceHandler
	calls atomic.Int32
	// answer is returned, with the ids of the call, in place of a complete answer.
	answer *peerv1.ForwardResponse
}

func (h *fakeHome) Forward(_ context.Context, r *connect.Request[peerv1.ForwardRequest]) (*connect.Response[peerv1.ForwardResponse], error) {
	h.calls.Add(1)
	if h.answer != nil {
		h.answer.RequestId, h.answer.Nonce = r.Msg.RequestId, r.Msg.Nonce
		return connect.NewResponse(h.answer), nil
	}
	return connect.NewResponse(&peerv1.ForwardResponse{RequestId: r.Msg.RequestId, Nonce: r.Msg.Nonce, Status: 200, Body: r.Msg.Body}), nil
}

func startHome(t *testing.T, key auth.Key) (*fakeHome, string) {
	t.Helper()
	server, err := httpd.Listen(httpd.Config{Name: "peer listener", Address: "127.0.0.1:0"})
	assert.NilError(t, err)
	h := &fakeHome{}
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(h))
	server.Handle(key.Wrap(mux))
	go func() { _ = server.Serve() }()
	t.Cleanup(func() {
		closed, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(closed)
	})
	return h, server.Address()
}

// relay forwards TCP connections to target. It can silence the open ones for good,
// in one direction or both.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	open     []*relayedConn
}

type relayedConn struct {
	silentToServer atomic.Bool
	silentToClient atomic.Bool
}

func startRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{listener: listener, target: target}
	t.Cleanup(func() { _ = listener.Close() })
	go r.accept()
	return r
}

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		c := &relayedConn{}
		r.mu.Lock()
		r.open = append(r.open, c)
		r.mu.Unlock()
		go forwardBytes(upstream, conn, &c.silentToServer)
		go forwardBytes(conn, upstream, &c.silentToClient)
	}
}

// forwardBytes copies bytes and discards them once silent is set.
func forwardBytes(to io.Writer, from io.Reader, silent *atomic.Bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if silent.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// silence drops all further data of the open connections in the given directions.
// New connections work.
func (r *relay) silence(toServer, toClient bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.open {
		c.silentToServer.Store(toServer)
		c.silentToClient.Store(toClient)
	}
}

func forward(c *dial.Client, address string, lifetime time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), lifetime)
	defer cancel()
	_, err := c.Forward(ctx, teaseltack.Record{Host: "h", PeerAddress: address}, &teaseltack.Call{ID: "a", Nonce: "n", Deadline: time.Now().Add(lifetime)})
	return err
}

func newClient(key auth.Key) *dial.Client {
	return dial.New(dial.Config{Timers: clock.Clock{}, Key: key, MaxMessageBytes: 1 << 20})
}

// Guards against calls that keep using a connection on which the network drops all
// data without closing it. Unanswered pings have to close it, and the next call
// has to succeed on a new one.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for name, test := range map[string]struct{ toServer, toClient bool }{
		"both directions": {true, true},
		"to the server":   {true, false},
		"to the client":   {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, address := startHome(t, "")
			r := startRelay(t, address)
			c := newClient("")
			err := forward(c, r.listener.Addr().String(), 5*time.Second)
			assert.NilError(t, err)
			r.silence(test.toServer, test.toClient)
			err = forward(c, r.listener.Addr().String(), 30*time.Second)
			refusal := teaseltack.AsRefusal(err)
			assert.Equal(t, refusal.Verdict, teaseltack.MayHaveRun)
			assert.Equal(t, refusal.Reason, teaseltack.ReasonConnection, "the pings did not close the connection")
			err = forward(c, r.listener.Addr().String(), 5*time.Second)
			assert.NilError(t, err)
		})
	}
}

// Guards against a refused connection that is reported as may-have-run, which
// would prevent a safe retry of a non-idempotent call.
func TestOnlyAConnectionThatWasNeverMadeIsNotRun(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	err = forward(newClient(""), closed.Addr().String(), time.Second)
	assert.Equal(t, teaseltack.AsRefusal(err).Verdict, teaseltack.NotRun)
}

// Guards against a call with a wrong or missing key that reaches the home's handler.
func TestWrongKeyIsRefusedBeforeTheHome(t *testing.T) {
	for name, test := range map[string]struct {
		given auth.Key
		calls int32
	}{
		"right":   {"secret", 1},
		"wrong":   {"other", 0},
		"missing": {"", 0},
	} {
		t.Run(name, func(t *testing.T) {
			h, address := startHome(t, "secret")
			err := forward(newClient(test.given), address, 5*time.Second)
			assert.Equal(t, h.calls.Load(), test.calls)
			if test.calls == 0 {
				assert.Equal(t, teaseltack.AsRefusal(err).Verdict, teaseltack.NotRun)
			}
		})
	}
}

// Guards against not-run for a call that ran: the client reports an answer that it
// cannot decode with the code that a daemon uses to reject a malformed call.
func TestInvalidArgumentIsNotRunOnlyFromThePeer(t *testing.T) {
	for name, test := range map[string]struct {
		answer  http.HandlerFunc
		verdict teaseltack.Verdict
	}{
		"undecodable answer": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/proto")
			_, _ = w.Write([]byte("\xff\xff\xffgarbage"))
		}, teaseltack.MayHaveRun},
		"undecodable error": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusBadRequest)
			_, _ = w.Write([]byte("{"))
		}, teaseltack.MayHaveRun},
		"no memory for the call": {func(w http.ResponseWriter, r *http.Request) {
			_ = connect.NewErrorWriter().Write(w, r, connect.NewError(connect.CodeResourceExhausted, usage.ErrFull))
		}, teaseltack.NotRun},
		"rejected call": {func(w http.ResponseWriter, r *http.Request) {
			_ = connect.NewErrorWriter().Write(w, r, connect.NewError(connect.CodeInvalidArgument, errors.New("nonce is empty")))
		}, teaseltack.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			server, err := httpd.Listen(httpd.Config{Name: "peer listener", Address: "127.0.0.1:0"})
			assert.NilError(t, err)
			server.Handle(test.answer)
			go func() { _ = server.Serve() }()
			err = forward(newClient(""), server.Address(), 5*time.Second)
			assert.Equal(t, teaseltack.AsRefusal(err).Verdict, test.verdict, "%v", err)
		})
	}
}

// Guards against a broken answer that another daemon, such as one of an earlier version,
// passes on, and against a part of an answer that is taken as the whole.
func TestABrokenAnswerOfAnotherDaemonMayHaveRun(t *testing.T) {
	header := func(name, value string) *peerv1.ForwardResponse {
		return &peerv1.ForwardResponse{Status: 200, Headers: []*peerv1.Header{{Name: name, Value: value}}}
	}
	for name, broken := range map[string]*peerv1.ForwardResponse{
		"status 0":                 {},
		"status 101":               {Status: 101},
		"status 600":               {Status: 600},
		"a blank in a name":        header("X Odd", "1"),
		"a control byte in a name": header("X\x01Odd", "1"),
		"a line feed in a value":   header("X-Odd", "1\nX-Even: 2"),
	} {
		t.Run(name, func(t *testing.T) {
			h, address := startHome(t, "")
			h.answer = broken
			answer, err := newClient("").Forward(t.Context(), teaseltack.Record{Host: "h", PeerAddress: address}, &teaseltack.Call{ID: "a", Nonce: "n", Deadline: time.Now().Add(5 * time.Second)})
			assert.NilError(t, err)
			assert.Assert(t, answer.Refusal != nil, "status %d, headers %v", answer.Status, answer.Headers)
			assert.Equal(t, answer.Refusal.Verdict, teaseltack.MayHaveRun)
			assert.Equal(t, answer.Refusal.Reason, teaseltack.ReasonAnswerMismatch)
		})
	}
	t.Run("a reset", func(t *testing.T) {
		server, err := httpd.Listen(httpd.Config{Name: "peer listener", Address: "127.0.0.1:0"})
		assert.NilError(t, err)
		server.Handle(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/proto")
			// Field 1 with the text "a": a message of its own.
			_, _ = w.Write([]byte("\x0a\x01a"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}))
		go func() { _ = server.Serve() }()
		err = forward(newClient(""), server.Address(), 5*time.Second)
		assert.Equal(t, teaseltack.AsRefusal(err).Verdict, teaseltack.MayHaveRun, "%v", err)
	})
}

package dial_test

import (
	"context"
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
	peerv1 "teaseltack/gen/teaseltack/peer/v1"
	"teaseltack/gen/teaseltack/peer/v1/peerv1connect"
	"teaseltack/io/auth"
	"teaseltack/io/clock"
	"teaseltack/io/dial"
	"teaseltack/io/httpd"
)

// fakeHome answers calls whole and counts them.
type fakeHome struct {
	peerv1connect.UnimplementedPeerServiceHandler
	calls atomic.Int32
}

func (h *fakeHome) Forward(_ context.Context, r *connect.Request[peerv1.ForwardRequest]) (*connect.Response[peerv1.ForwardResponse], error) {
	h.calls.Add(1)
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

// relay passes connections on until it silences the open ones for good in one
// direction or both.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	open     []*relayed
}

type relayed struct {
	silentThere atomic.Bool
	silentBack  atomic.Bool
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
		onward, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		c := &relayed{}
		r.mu.Lock()
		r.open = append(r.open, c)
		r.mu.Unlock()
		go pass(onward, conn, &c.silentThere)
		go pass(conn, onward, &c.silentBack)
	}
}

// pass copies bytes and swallows them once silent.
func pass(to io.Writer, from io.Reader, silent *atomic.Bool) {
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

// silence lets the open connections go silent; new ones work.
func (r *relay) silence(there, back bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.open {
		c.silentThere.Store(there)
		c.silentBack.Store(back)
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

// An open connection that goes silent in either direction is dropped by its
// unanswered pings, and the next call is answered on a new one.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for name, test := range map[string]struct{ there, back bool }{
		"both ways":       {true, true},
		"towards the far": {true, false},
		"from the far":    {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, address := startHome(t, "")
			r := startRelay(t, address)
			c := newClient("")
			err := forward(c, r.listener.Addr().String(), 5*time.Second)
			assert.NilError(t, err)
			r.silence(test.there, test.back)
			err = forward(c, r.listener.Addr().String(), 30*time.Second)
			refusal := teaseltack.AsRefusal(err)
			assert.Equal(t, refusal.Verdict, teaseltack.MayHaveRun)
			assert.Equal(t, refusal.Reason, teaseltack.ReasonConnection, "the pings did not drop the connection")
			err = forward(c, r.listener.Addr().String(), 5*time.Second)
			assert.NilError(t, err)
		})
	}
}

func TestOnlyAConnectionThatWasNeverMadeIsNotRun(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	err = forward(newClient(""), closed.Addr().String(), time.Second)
	assert.Equal(t, teaseltack.AsRefusal(err).Verdict, teaseltack.NotRun)
}

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

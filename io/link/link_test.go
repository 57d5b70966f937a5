package link_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/io/clock"
	"teaseltack/io/link"
)

// patience bounds every wait of these tests; none measures time.
const patience = 20 * time.Second

// node is one host's links with what they were told.
type node struct {
	links      *link.Links
	record     teaseltack.Record
	serve      func(context.Context, *teaseltack.Call) *teaseltack.Answer
	generation atomic.Uint64
	introduced chan []teaseltack.Record
	reached    chan bool
}

func newNode(t *testing.T, name string) *node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	n := &node{
		record:     teaseltack.Record{Host: teaseltack.HostID(name), PeerAddress: listener.Addr().String(), Service: "s"},
		introduced: make(chan []teaseltack.Record, 100), reached: make(chan bool, 100),
	}
	n.serve = func(_ context.Context, c *teaseltack.Call) *teaseltack.Answer {
		return &teaseltack.Answer{ID: c.ID, Nonce: c.Nonce, Status: 200, Body: c.Payload.Body}
	}
	n.links = link.New(link.Config{
		Timers: clock.Clock{}, Host: n.record.Host,
		Serve: func(ctx context.Context, c *teaseltack.Call) *teaseltack.Answer { return n.serve(ctx, c) },
		Current: func() (teaseltack.Generation, []byte) {
			return teaseltack.Generation(n.generation.Load()), []byte("document")
		},
		OnConfig:       func(g teaseltack.Generation, _ []byte) { n.generation.Store(uint64(g)) },
		Records:        func() []teaseltack.Record { return []teaseltack.Record{n.record} },
		OnRecords:      func(records []teaseltack.Record) { n.introduced <- records },
		OnReachability: func(_ teaseltack.HostID, reached bool) { n.reached <- reached },
		MayBeStale:     func() bool { return false },
	})
	go n.links.Serve(listener)
	t.Cleanup(n.links.Close)
	return n
}

func call(id string, once bool) *teaseltack.Call {
	return &teaseltack.Call{
		ID: teaseltack.RequestID(id), Nonce: teaseltack.Nonce("n-" + id), Target: teaseltack.Target{Service: "s", Method: "m"},
		NonIdempotent: once, Deadline: time.Now().Add(patience), Payload: teaseltack.Payload{Verb: "GET", Body: []byte(id)},
	}
}

func assertVerdict(t *testing.T, err error, want teaseltack.Verdict) {
	t.Helper()
	var refusal *teaseltack.Refusal
	assert.Assert(t, errors.As(err, &refusal), "%v", err)
	assert.Equal(t, refusal.Verdict, want, refusal.Detail)
}

func TestManyCallsShareALinkAndGetTheirOwnAnswers(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	var calls sync.WaitGroup
	for i := range 200 {
		calls.Go(func() {
			id := string(rune('A' + i%50))
			answer, err := a.links.Forward(t.Context(), b.record, call(id, false))
			assert.Check(t, err)
			assert.Check(t, answer != nil && string(answer.Body) == id)
		})
	}
	calls.Wait()
}

func TestAnUnreachedHostHasNotRunTheCall(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	_, err := a.links.Forward(t.Context(), b.record, call("first", true))
	assert.NilError(t, err)
	assert.Assert(t, <-a.reached)
	b.links.Close()
	assert.Assert(t, !<-a.reached)
	_, err = a.links.Forward(t.Context(), b.record, call("x", true))
	assertVerdict(t, err, teaseltack.NotRun)
}

func TestAnotherHostAtTheAddressDoesNotRunTheCall(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	stale := b.record
	stale.Host = "c"
	answer, err := a.links.Forward(t.Context(), stale, call("x", true))
	assert.NilError(t, err)
	assert.Equal(t, answer.Refusal.Reason, teaseltack.ReasonWrongHost)
	assert.Equal(t, answer.Refusal.Verdict, teaseltack.NotRun)
}

// TestABrokenLinkLeavesOpenWhatRan breaks the link at each point of a call.
func TestABrokenLinkLeavesOpenWhatRan(t *testing.T) {
	for _, c := range []struct {
		name            string
		once, confirmed bool
		want            teaseltack.Verdict
	}{
		{"may run again", false, false, teaseltack.MayHaveRun},
		{"may run once, before it ran", true, false, teaseltack.NotRun},
		{"may run once, while it runs", true, true, teaseltack.MayHaveRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := newNode(t, "a"), newNode(t, "b")
			b.serve = func(ctx context.Context, got *teaseltack.Call) *teaseltack.Answer {
				if c.confirmed {
					assert.Check(t, got.Confirm(ctx))
				}
				go b.links.Close()
				<-t.Context().Done()
				return &teaseltack.Answer{}
			}
			_, err := a.links.Forward(t.Context(), b.record, call("x", c.once))
			assertVerdict(t, err, c.want)
		})
	}
}

// TestACallThatWasGivenUpIsNeverConfirmed has the entry leave before the home is
// about to run the call.
func TestACallThatWasGivenUpIsNeverConfirmed(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	arrived, confirmed := make(chan struct{}), make(chan bool, 1)
	b.serve = func(ctx context.Context, got *teaseltack.Call) *teaseltack.Answer {
		close(arrived)
		<-ctx.Done()
		confirmed <- got.Confirm(context.WithoutCancel(ctx))
		return &teaseltack.Answer{ID: got.ID, Nonce: got.Nonce}
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := a.links.Forward(ctx, b.record, call("x", true))
	assertVerdict(t, err, teaseltack.NotRun)
	assert.Assert(t, !<-confirmed)
}

// TestOneSilentHostLetsItsDataCentreBeProbed cuts two hosts of one data centre
// off: the call that meets the first finds the second as well.
func TestOneSilentHostLetsItsDataCentreBeProbed(t *testing.T) {
	a, b, c := newNode(t, "a"), newNode(t, "b"), newNode(t, "c")
	var relays []*relay
	var cut []teaseltack.Record
	for _, n := range []*node{b, c} {
		r := newRelay(t, n.record.PeerAddress)
		record := n.record
		record.PeerAddress, record.DataCentre = r.listener.Addr().String(), "far"
		_, err := a.links.Forward(t.Context(), record, call("first", false))
		assert.NilError(t, err)
		assert.Assert(t, <-a.reached)
		relays, cut = append(relays, r), append(cut, record)
	}
	for _, r := range relays {
		r.silent.Store(true)
		_ = r.listener.Close()
	}
	_, err := a.links.Forward(t.Context(), cut[0], call("again", false))
	assertVerdict(t, err, teaseltack.MayHaveRun)
	assert.Assert(t, !<-a.reached)
	assert.Assert(t, !<-a.reached)
	_, err = a.links.Forward(t.Context(), cut[1], call("other", true))
	assertVerdict(t, err, teaseltack.NotRun)
}

func TestACallerThatLeavesCancelsTheCall(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	started, ended := make(chan struct{}), make(chan struct{})
	b.serve = func(ctx context.Context, c *teaseltack.Call) *teaseltack.Answer {
		close(started)
		<-ctx.Done()
		close(ended)
		return &teaseltack.Answer{ID: c.ID}
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, err := a.links.Forward(ctx, b.record, call("x", false))
	assertVerdict(t, err, teaseltack.MayHaveRun)
	<-ended
}

func TestANewerConfigurationPassesOverALink(t *testing.T) {
	for _, newer := range []string{"a", "b"} {
		t.Run(newer, func(t *testing.T) {
			a, b := newNode(t, "a"), newNode(t, "b")
			map[string]*node{"a": a, "b": b}[newer].generation.Store(7)
			_, err := a.links.Forward(t.Context(), b.record, call("x", false))
			assert.NilError(t, err)
			for a.generation.Load() != 7 || b.generation.Load() != 7 {
				time.Sleep(time.Millisecond)
			}
		})
	}
}

func TestAHostThatKnowsNobodyIsIntroduced(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	_, err := a.links.Forward(t.Context(), b.record, call("x", false))
	assert.NilError(t, err)
	assert.Equal(t, (<-a.introduced)[0].Host, b.record.Host)
}

// relay passes bytes between a and b until it is silenced.
type relay struct {
	listener net.Listener
	silent   atomic.Bool
}

func newRelay(t *testing.T, to string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			silenced := r.silent.Load()
			go r.pass(near, far, silenced)
			go r.pass(far, near, silenced)
		}
	}()
	return r
}

// pass copies bytes; those of a connection made before the silence are swallowed
// from then on.
func (r *relay) pass(from, to net.Conn, newer bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if r.silent.Load() && !newer {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// TestASilentLinkIsReplaced silences a link that works: calls that may run again
// fail soon and go over a new one, one that has not begun has not run, and one
// that runs and must not run again waits for its answer.
func TestASilentLinkIsReplaced(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	r := newRelay(t, b.record.PeerAddress)
	through := b.record
	through.PeerAddress = r.listener.Addr().String()
	runs := make(chan struct{})
	answer := b.serve
	b.serve = func(ctx context.Context, c *teaseltack.Call) *teaseltack.Answer {
		if c.ID == "once" && c.Confirm(ctx) {
			close(runs)
			<-t.Context().Done()
		}
		return answer(ctx, c)
	}
	_, err := a.links.Forward(t.Context(), through, call("first", false))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	waiting := make(chan error, 1)
	go func() {
		_, err := a.links.Forward(ctx, through, call("once", true))
		waiting <- err
	}()
	<-runs
	r.silent.Store(true)
	unstarted := make(chan error, 1)
	go func() {
		_, err := a.links.Forward(t.Context(), through, call("unstarted", true))
		unstarted <- err
	}()
	_, err = a.links.Forward(t.Context(), through, call("again", false))
	assertVerdict(t, err, teaseltack.MayHaveRun)
	if err := <-unstarted; err != nil {
		assertVerdict(t, err, teaseltack.NotRun)
	}
	got, err := a.links.Forward(t.Context(), through, call("new", false))
	assert.NilError(t, err)
	assert.Equal(t, string(got.Body), "new")
	select {
	case err := <-waiting:
		t.Fatalf("the call that may run once ended with %v", err)
	default:
	}
	cancel()
	assertVerdict(t, <-waiting, teaseltack.MayHaveRun)
}

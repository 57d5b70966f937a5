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

// testTimeout bounds every wait of these tests; no test measures time.
const testTimeout = 20 * time.Second

// node is the links of one host, with what their callbacks received.
type node struct {
	links           *link.Links
	record          teaseltack.Record
	serve           func(context.Context, *teaseltack.Call) *teaseltack.Answer
	generation      atomic.Uint64
	receivedRecords chan []teaseltack.Record
	reachability    chan bool
}

func newNode(t *testing.T, name string) *node {
	t.Helper()
	return newNodeWith(t, name, clock.Clock{})
}

func newNodeWith(t *testing.T, name string, timers teaseltack.Timers) *node {
	t.Helper()
	return newNodeFor(t, name, timers, func(*link.Config) {})
}

// newNodeFor returns a node whose configuration is changed by the function.
func newNodeFor(t *testing.T, name string, timers teaseltack.Timers, change func(*link.Config)) *node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	n := &node{
		record:          teaseltack.Record{Host: teaseltack.HostID(name), PeerAddress: listener.Addr().String(), Service: "s"},
		receivedRecords: make(chan []teaseltack.Record, 100), reachability: make(chan bool, 100),
	}
	n.serve = func(_ context.Context, c *teaseltack.Call) *teaseltack.Answer {
		return &teaseltack.Answer{ID: c.ID, Nonce: c.Nonce, Status: 200, Body: c.Payload.Body}
	}
	cfg := link.Config{
		Timers: timers, Host: n.record.Host,
		Serve: func(ctx context.Context, c *teaseltack.Call) *teaseltack.Answer { return n.serve(ctx, c) },
		Current: func() (teaseltack.Generation, []byte) {
			return teaseltack.Generation(n.generation.Load()), []byte("document")
		},
		Age:            func() time.Duration { return 0 },
		OnGeneration:   func(teaseltack.Generation, time.Duration) {},
		OnConfig:       func(g teaseltack.Generation, _ []byte) { n.generation.Store(uint64(g)) },
		Records:        func() []teaseltack.Record { return []teaseltack.Record{n.record} },
		OnRecords:      func(records []teaseltack.Record) { n.receivedRecords <- records },
		OnReachability: func(_ teaseltack.HostID, reachable bool) { n.reachability <- reachable },
		MayBeStale:     func() bool { return false },
	}
	change(&cfg)
	n.links = link.New(cfg)
	go n.links.Serve(listener)
	t.Cleanup(n.links.Close)
	return n
}

func call(id string, nonIdempotent bool) *teaseltack.Call {
	return &teaseltack.Call{
		ID: teaseltack.RequestID(id), Nonce: teaseltack.Nonce("n-" + id), Target: teaseltack.Target{Service: "s", Method: "m"},
		NonIdempotent: nonIdempotent, Deadline: time.Now().Add(testTimeout), Payload: teaseltack.Payload{Verb: "GET", Body: []byte(id)},
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

// TestAnUnreachedHostHasNotRunTheCall calls a host whose connection was lost and cannot
// be dialled. MayHaveRun would needlessly fail a non-idempotent call.
func TestAnUnreachedHostHasNotRunTheCall(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	_, err := a.links.Forward(t.Context(), b.record, call("first", true))
	assert.NilError(t, err)
	assert.Assert(t, <-a.reachability)
	b.links.Close()
	assert.Assert(t, !<-a.reachability)
	_, err = a.links.Forward(t.Context(), b.record, call("x", true))
	assertVerdict(t, err, teaseltack.NotRun)
}

// TestAnotherHostAtTheAddressDoesNotRunTheCall sends a call with a stale record, after
// another host has got the address.
func TestAnotherHostAtTheAddressDoesNotRunTheCall(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	stale := b.record
	stale.Host = "c"
	answer, err := a.links.Forward(t.Context(), stale, call("x", true))
	assert.NilError(t, err)
	assert.Equal(t, answer.Refusal.Reason, teaseltack.ReasonWrongHost)
	assert.Equal(t, answer.Refusal.Verdict, teaseltack.NotRun)
}

// TestABrokenLinkLeavesOpenWhatRan breaks the connection at each stage of a call. A
// wrong NotRun would let the entry run a call twice; a needless MayHaveRun would fail
// a non-idempotent call that is safe to send elsewhere.
func TestABrokenLinkLeavesOpenWhatRan(t *testing.T) {
	for _, c := range []struct {
		name                     string
		nonIdempotent, confirmed bool
		want                     teaseltack.Verdict
	}{
		{"idempotent", false, false, teaseltack.MayHaveRun},
		{"non-idempotent, before it runs", true, false, teaseltack.NotRun},
		{"non-idempotent, while it runs", true, true, teaseltack.MayHaveRun},
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
			_, err := a.links.Forward(t.Context(), b.record, call("x", c.nonIdempotent))
			assertVerdict(t, err, c.want)
		})
	}
}

// TestACallThatWasGivenUpIsNeverConfirmed cancels a non-idempotent call at the entry
// before the home asks for confirmation. If the home ran the call then, another home
// could run it as well.
func TestACallThatWasGivenUpIsNeverConfirmed(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	started, confirmed := make(chan struct{}), make(chan bool, 1)
	b.serve = func(ctx context.Context, got *teaseltack.Call) *teaseltack.Answer {
		close(started)
		<-ctx.Done()
		confirmed <- got.Confirm(context.WithoutCancel(ctx))
		return &teaseltack.Answer{ID: got.ID, Nonce: got.Nonce}
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, err := a.links.Forward(ctx, b.record, call("x", true))
	assertVerdict(t, err, teaseltack.NotRun)
	assert.Assert(t, !<-confirmed)
}

// TestOneSilentHostLetsItsDataCentreBeProbed makes two hosts of one data centre
// unreachable. A call to the first must detect that the second is silent as well;
// otherwise a call to each host of a partitioned data centre would have to time out.
func TestOneSilentHostLetsItsDataCentreBeProbed(t *testing.T) {
	a, b, c := newNode(t, "a"), newNode(t, "b"), newNode(t, "c")
	var relays []*relay
	var unreachable []teaseltack.Record
	for _, n := range []*node{b, c} {
		r := newRelay(t, n.record.PeerAddress)
		record := n.record
		record.PeerAddress, record.DataCentre = r.listener.Addr().String(), "far"
		_, err := a.links.Forward(t.Context(), record, call("first", false))
		assert.NilError(t, err)
		assert.Assert(t, <-a.reachability)
		relays, unreachable = append(relays, r), append(unreachable, record)
	}
	for _, r := range relays {
		r.dropping.Store(true)
		_ = r.listener.Close()
	}
	_, err := a.links.Forward(t.Context(), unreachable[0], call("again", false))
	assertVerdict(t, err, teaseltack.MayHaveRun)
	assert.Assert(t, !<-a.reachability)
	assert.Assert(t, !<-a.reachability)
	_, err = a.links.Forward(t.Context(), unreachable[1], call("other", true))
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

// TestANewerConfigurationPassesOverALink gives one host a newer configuration before
// the connection is made: the ping on a new connection must bring it to the other
// host, whichever of them dialled.
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

// TestAHostThatKnowsNobodyIsIntroduced connects a host that knows only itself. It must
// receive the records of the host that it dialled.
func TestAHostThatKnowsNobodyIsIntroduced(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	_, err := a.links.Forward(t.Context(), b.record, call("x", false))
	assert.NilError(t, err)
	assert.Equal(t, (<-a.receivedRecords)[0].Host, b.record.Host)
}

// relay copies bytes between the clients of its listener and a server. While
// dropping is set, it discards the bytes of connections made before and leaves them
// open, so that they fall silent.
type relay struct {
	listener net.Listener
	dropping atomic.Bool
	// target is the address that new connections lead to.
	target atomic.Value
	// ended gets a value for each connection whose one end was closed.
	ended chan struct{}
	mu    sync.Mutex
	open  []net.Conn
}

func newRelay(t *testing.T, to string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{listener: listener, ended: make(chan struct{}, 100)}
	r.target.Store(to)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", r.target.Load().(string))
			if err != nil {
				return
			}
			dropping := r.dropping.Load()
			r.mu.Lock()
			r.open = append(r.open, client, server)
			r.mu.Unlock()
			go r.copy(client, server, dropping)
			go r.copy(server, client, dropping)
		}
	}()
	return r
}

// reset closes the open connections.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.open {
		_ = conn.Close()
	}
	r.open = nil
}

// copy copies bytes from one connection to the other. Once r.dropping is set, it
// discards them unless the connection was made later.
func (r *relay) copy(from, to net.Conn, afterDrop bool) {
	defer func() {
		_ = to.Close()
		r.ended <- struct{}{}
	}()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if r.dropping.Load() && !afterDrop {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// TestASilentLinkIsReplaced drops all bytes of a working connection without closing
// it. Idempotent calls must fail soon and the next ones use a new connection, a
// non-idempotent call that has not started must fail with NotRun, and one that runs
// must keep waiting for its answer.
func TestASilentLinkIsReplaced(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	r := newRelay(t, b.record.PeerAddress)
	relayed := b.record
	relayed.PeerAddress = r.listener.Addr().String()
	running := make(chan struct{})
	answer := b.serve
	b.serve = func(ctx context.Context, c *teaseltack.Call) *teaseltack.Answer {
		if c.Again {
			<-ctx.Done()
		} else if c.ID == "once" && c.Confirm(ctx) {
			close(running)
			<-t.Context().Done()
		}
		return answer(ctx, c)
	}
	_, err := a.links.Forward(t.Context(), relayed, call("first", false))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	runningResult := make(chan error, 1)
	go func() {
		_, err := a.links.Forward(ctx, relayed, call("once", true))
		runningResult <- err
	}()
	<-running
	r.dropping.Store(true)
	unstartedResult := make(chan error, 1)
	go func() {
		_, err := a.links.Forward(t.Context(), relayed, call("unstarted", true))
		unstartedResult <- err
	}()
	_, err = a.links.Forward(t.Context(), relayed, call("again", false))
	assertVerdict(t, err, teaseltack.MayHaveRun)
	if err := <-unstartedResult; err != nil {
		assertVerdict(t, err, teaseltack.NotRun)
	}
	got, err := a.links.Forward(t.Context(), relayed, call("new", false))
	assert.NilError(t, err)
	assert.Equal(t, string(got.Body), "new")
	select {
	case err := <-runningResult:
		t.Fatalf("the running non-idempotent call ended with %v", err)
	default:
	}
	cancel()
	assertVerdict(t, <-runningResult, teaseltack.MayHaveRun)
}

// brokenListener fails each Accept until it is closed.
type brokenListener struct {
	accepts atomic.Int64
	closed  atomic.Bool
}

func (l *brokenListener) Accept() (net.Conn, error) {
	l.accepts.Add(1)
	if l.closed.Load() {
		return nil, net.ErrClosed
	}
	return nil, errors.New("too many open files")
}

func (l *brokenListener) Close() error {
	l.closed.Store(true)
	return nil
}

func (*brokenListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestAFailingAcceptIsNotABusyLoop guards against a host without free descriptors that
// spends its processor time on accepting.
func TestAFailingAcceptIsNotABusyLoop(t *testing.T) {
	n := newNode(t, "a")
	listener := &brokenListener{}
	done := make(chan struct{})
	go func() {
		n.links.Serve(listener)
		close(done)
	}()
	time.Sleep(200 * time.Millisecond)
	_ = listener.Close()
	<-done
	assert.Assert(t, listener.accepts.Load() < 100, "%d accepts in 200 ms", listener.accepts.Load())
}

// TestTheConnectionToAnEarlierAddressIsClosed guards against connections that stay open
// for as long as both daemons live, one for each change of an address.
func TestTheConnectionToAnEarlierAddressIsClosed(t *testing.T) {
	timers := &manualTimers{}
	a, b := newNodeWith(t, "a", timers), newNode(t, "b")
	r := newRelay(t, b.record.PeerAddress)
	earlier := b.record
	earlier.PeerAddress = r.listener.Addr().String()
	_, err := a.links.Forward(t.Context(), earlier, call("x", false))
	assert.NilError(t, err)
	_, err = a.links.Forward(t.Context(), b.record, call("y", false))
	assert.NilError(t, err)
	timers.runLongerThan(20 * time.Second)
	select {
	case <-r.ended:
	case <-time.After(testTimeout):
		t.Fatal("the connection to the earlier address stays open")
	}
}

// manualTimers runs long timers on request and others as usual.
type manualTimers struct {
	clock.Clock
	mu   sync.Mutex
	long []func()
}

func (m *manualTimers) After(delay time.Duration, run func()) func() {
	if delay < 20*time.Second {
		return m.Clock.After(delay, run)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.long = append(m.long, run)
	return func() {}
}

func (m *manualTimers) runLongerThan(time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, run := range m.long {
		run()
	}
}

// TestALostAnswerIsAskedForAgain loses the connection while a confirmed call runs. The
// entry must get the answer of that run over a new connection: a caller who is told
// "may have run" about a payment has to find out by hand.
func TestALostAnswerIsAskedForAgain(t *testing.T) {
	for name, lose := range map[string]func(*relay){
		"reset":  (*relay).reset,
		"silent": func(r *relay) { r.dropping.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newNode(t, "a"), newNode(t, "b")
			r := newRelay(t, b.record.PeerAddress)
			relayed := b.record
			relayed.PeerAddress, relayed.Incarnation = r.listener.Addr().String(), 7
			running, asked := make(chan struct{}), make(chan struct{})
			var runs atomic.Int64
			b.serve = func(ctx context.Context, c *teaseltack.Call) *teaseltack.Answer {
				if c.Again {
					assert.Check(t, c.HomeIncarnation == 7 && c.Nonce == "n-x")
					close(asked)
				} else if c.Confirm(ctx) {
					runs.Add(1)
					close(running)
					<-asked
				}
				return &teaseltack.Answer{ID: c.ID, Nonce: c.Nonce, Status: 200, Body: []byte("done")}
			}
			go func() {
				<-running
				lose(r)
			}()
			answer, err := a.links.Forward(t.Context(), relayed, call("x", true))
			assert.NilError(t, err)
			assert.Equal(t, string(answer.Body), "done")
			assert.Equal(t, runs.Load(), int64(1))
		})
	}
}

// TestOnlyTheHomeSaysThatAConfirmedCallHasNotRun loses the connection while a confirmed
// call runs and lets another host answer at the home's address, or the home itself. It
// guards against a second run of a call whose home's address went to another host.
func TestOnlyTheHomeSaysThatAConfirmedCallHasNotRun(t *testing.T) {
	for _, c := range []struct {
		name   string
		host   string
		answer *teaseltack.Answer
		want   teaseltack.Verdict
	}{
		{"another host has the address", "c", nil, teaseltack.MayHaveRun},
		{"a refusal that is not of the earlier call", "b", &teaseltack.Answer{Refusal: teaseltack.Refuse(teaseltack.ReasonLeaving, "leaving")}, teaseltack.MayHaveRun},
		{"the refusal of the earlier call", "b", &teaseltack.Answer{Refusal: teaseltack.Refuse(teaseltack.ReasonLeaving, "leaving"), Earlier: true}, teaseltack.NotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b, later := newNode(t, "a"), newNode(t, "b"), newNode(t, c.host)
			r := newRelay(t, b.record.PeerAddress)
			relayed := b.record
			relayed.PeerAddress = r.listener.Addr().String()
			b.serve = func(ctx context.Context, got *teaseltack.Call) *teaseltack.Answer {
				assert.Check(t, got.Confirm(ctx))
				r.target.Store(later.record.PeerAddress)
				r.reset()
				<-t.Context().Done()
				return &teaseltack.Answer{}
			}
			later.serve = func(_ context.Context, got *teaseltack.Call) *teaseltack.Answer {
				assert.Check(t, got.Again)
				return c.answer
			}
			answer, err := a.links.Forward(t.Context(), relayed, call("x", true))
			assert.NilError(t, err)
			assert.Equal(t, answer.Refusal.Verdict, c.want, answer.Refusal.Detail)
		})
	}
}

// TestAGoneHomeIsNotAskedForLong guards against a caller that waits for its deadline
// although no daemon listens at the home any more.
func TestAGoneHomeIsNotAskedForLong(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	b.serve = func(ctx context.Context, c *teaseltack.Call) *teaseltack.Answer {
		assert.Check(t, c.Confirm(ctx))
		go b.links.Close()
		<-t.Context().Done()
		return &teaseltack.Answer{}
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	_, err := a.links.Forward(ctx, b.record, call("x", true))
	assertVerdict(t, err, teaseltack.MayHaveRun)
	assert.NilError(t, ctx.Err(), "the home was asked until the deadline")
}

// TestCallsIntoASilentConnectionHaveNotRun cuts the connection while a call is pending.
// Idempotent calls that are sent later, before the connection counts as silent, must be
// known not to have run: their callers can be served elsewhere or told so.
func TestCallsIntoASilentConnectionHaveNotRun(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	r := newRelay(t, b.record.PeerAddress)
	relayed := b.record
	relayed.PeerAddress = r.listener.Addr().String()
	running := make(chan struct{})
	answer := b.serve
	b.serve = func(ctx context.Context, c *teaseltack.Call) *teaseltack.Answer {
		if c.ID == "pending" {
			close(running)
			<-t.Context().Done()
		}
		return answer(ctx, c)
	}
	pending := make(chan error, 1)
	go func() {
		_, err := a.links.Forward(t.Context(), relayed, call("pending", false))
		pending <- err
	}()
	<-running
	r.dropping.Store(true)
	time.Sleep(200 * time.Millisecond) // Below the time after which the connection counts as silent.
	_, err := a.links.Forward(t.Context(), relayed, call("later", false))
	assertVerdict(t, err, teaseltack.NotRun)
	assertVerdict(t, <-pending, teaseltack.MayHaveRun)
}

// TestASuspectConnectionStillServes guards against calls that fail because their home is
// slow rather than away.
func TestASuspectConnectionStillServes(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	release := make(chan struct{})
	answer := b.serve
	b.serve = func(ctx context.Context, c *teaseltack.Call) *teaseltack.Answer {
		if c.ID == "slow" {
			<-release
			return answer(ctx, c)
		}
		if c.Confirm != nil && !c.Confirm(ctx) {
			return &teaseltack.Answer{ID: c.ID, Nonce: c.Nonce, Refusal: teaseltack.Refuse(teaseltack.ReasonConnection, "not confirmed")}
		}
		return answer(ctx, c)
	}
	slow := make(chan error, 1)
	go func() {
		_, err := a.links.Forward(t.Context(), b.record, call("slow", false))
		slow <- err
	}()
	time.Sleep(150 * time.Millisecond)
	got, err := a.links.Forward(t.Context(), b.record, call("next", false))
	assert.NilError(t, err)
	assert.Assert(t, got.Refusal == nil, "%v", got.Refusal)
	close(release)
	assert.NilError(t, <-slow)
}

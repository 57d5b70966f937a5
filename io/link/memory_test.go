package link_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/core/usage"
	"teaseltack/io/clock"
	"teaseltack/io/link"
)

const (
	// callMemory holds one long call.
	callMemory = 1 << 20
	longCall   = callMemory * 3 / 4
)

// newSmallNode returns a node with little memory for calls. What stalls makes room after
// the patience.
func newSmallNode(t *testing.T, patience time.Duration) (*node, *usage.Limiter) {
	t.Helper()
	memory := usage.New(usage.Config{Timers: clock.Clock{}, Limit: callMemory, Reserve: callMemory / 8, SmallAmount: 64 << 10, Patience: patience, MinProgress: 1})
	n := newNodeFor(t, "small", clock.Clock{}, func(c *link.Config) { c.CallMemory = memory })
	return n, memory
}

func longBodied(id string) *teaseltack.Call {
	c := call(id, false)
	c.Payload.Body = make([]byte, longCall)
	return c
}

func awaitHeld(t *testing.T, l *usage.Limiter, reached func(held int64) bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !reached(l.Held()); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d bytes are held", l.Held())
	}
}

func isNothing(held int64) bool { return held == 0 }

// isOpen reports whether what is held is one connection only.
func isOpen(held int64) bool { return held == usage.ConnectionBytes }

func isLong(held int64) bool { return held >= longCall }

// Guards against calls of other hosts that together exceed the memory. The link goes on.
func TestCallsShareTheMemory(t *testing.T) {
	a := newNode(t, "a")
	b, memory := newSmallNode(t, time.Hour)
	started, release := make(chan struct{}), make(chan struct{})
	serve := b.serve
	b.serve = func(ctx context.Context, c *teaseltack.Call) *teaseltack.Answer {
		if c.ID == "first" {
			close(started)
			<-release
		}
		return serve(ctx, c)
	}
	first := make(chan *teaseltack.Answer, 1)
	go func() {
		answer, err := a.links.Forward(t.Context(), b.record, longBodied("first"))
		assert.Check(t, err)
		first <- answer
	}()
	<-started
	answer, err := a.links.Forward(t.Context(), b.record, longBodied("second"))
	assert.NilError(t, err)
	assert.Assert(t, answer.Refusal != nil)
	assert.Equal(t, answer.Refusal.Verdict, teaseltack.NotRun)
	assert.Equal(t, answer.Refusal.Reason, teaseltack.ReasonOverload)
	assert.Assert(t, answer.Refusal.RetryAfter > 0)
	assert.Equal(t, answer.Nonce, longBodied("second").Nonce)
	answer, err = a.links.Forward(t.Context(), b.record, call("short", false))
	assert.NilError(t, err)
	assert.Equal(t, string(answer.Body), "short")
	close(release)
	assert.Equal(t, len((<-first).Body), longCall)
	awaitHeld(t, memory, isOpen)
	answer, err = a.links.Forward(t.Context(), b.record, longBodied("third"))
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Body), longCall)
}

// Guards against a client of the peer listener that announces a frame and stops.
func TestAFrameThatStallsMakesRoom(t *testing.T) {
	a := newNode(t, "a")
	b, memory := newSmallNode(t, 0)
	stalled, err := net.Dial("tcp", b.record.PeerAddress)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = stalled.Close() })
	// The length of the frame is 7 * 2^17 bytes.
	_, err = stalled.Write([]byte{0x80, 0x80, 0x38})
	assert.NilError(t, err)
	awaitHeld(t, memory, isLong)
	answer, err := a.links.Forward(t.Context(), b.record, longBodied("x"))
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Body), longCall)
	_ = stalled.SetReadDeadline(time.Now().Add(testTimeout))
	_, err = stalled.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	awaitHeld(t, memory, isOpen)
}

// Guards against a link that closes, or a call that waits, because its answer finds no
// memory.
func TestAnAnswerWithoutMemoryMayHaveRun(t *testing.T) {
	answers := usage.New(usage.Answers(clock.Clock{}, longCall/2))
	a := newNodeFor(t, "a", clock.Clock{}, func(c *link.Config) { c.AnswerMemory = answers })
	b := newNode(t, "b")
	_, err := a.links.Forward(t.Context(), b.record, longBodied("x"))
	assertVerdict(t, err, teaseltack.MayHaveRun)
	assert.Equal(t, teaseltack.AsRefusal(err).Reason, teaseltack.ReasonTooLarge)
	answer, err := a.links.Forward(t.Context(), b.record, call("short", false))
	assert.NilError(t, err)
	assert.Equal(t, string(answer.Body), "short")
	assert.Equal(t, answers.Held(), int64(0))
}

// Guards against an answer, and with it a whole link, that is ended because another answer
// finds no memory.
func TestAnAnswerMakesNoRoomForOthers(t *testing.T) {
	answers := usage.New(usage.Answers(clock.Clock{}, longCall))
	a := newNodeFor(t, "a", clock.Clock{}, func(c *link.Config) { c.AnswerMemory = answers })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		_, _ = a.links.Forward(t.Context(), teaseltack.Record{Host: "slow", PeerAddress: listener.Addr().String()}, call("slow", false))
	}()
	slow, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = slow.Close() })
	// The length of the frame is 6 * 2^17 bytes.
	_, err = slow.Write([]byte{0x80, 0x80, 0x30})
	assert.NilError(t, err)
	awaitHeld(t, answers, func(held int64) bool { return held > longCall/2 })
	held := answers.Held()
	_, err = a.links.Forward(t.Context(), newNode(t, "b").record, longBodied("x"))
	assertVerdict(t, err, teaseltack.MayHaveRun)
	assert.Equal(t, answers.Held(), held)
}

// Guards against memory that is given back while a long call is still being written to a
// host that does not read, and against callers that wait for that.
func TestACallHoldsItsBodyUntilItIsWritten(t *testing.T) {
	a := newNode(t, "a")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	record := teaseltack.Record{Host: "silent", PeerAddress: listener.Addr().String()}
	memory := usage.New(usage.Config{Timers: clock.Clock{}, Limit: 64 << 20})
	holder := memory.Enter(func() {})
	c := call("x", false)
	c.Payload.Body = make([]byte, 32<<20)
	c.Payload.Memory = holder
	assert.NilError(t, holder.Take(int64(len(c.Payload.Body))))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = a.links.Forward(ctx, record, c)
	assertVerdict(t, err, teaseltack.MayHaveRun)
	holder.Release()
	assert.Equal(t, memory.Held(), int64(len(c.Payload.Body)))
	a.links.Close()
	awaitHeld(t, memory, isNothing)
}

// Guards against clients of the peer listener that connect and keep other daemons out, and
// against the end of a link whose calls are in progress.
func TestConnectionsShareTheLimit(t *testing.T) {
	const limit = 4
	connections := usage.New(usage.Config{Timers: clock.Clock{}, Limit: limit, MinProgress: 1})
	a := newNode(t, "a")
	b := newNodeFor(t, "b", clock.Clock{}, func(c *link.Config) { c.Connections = connections })
	started, release := make(chan struct{}), make(chan struct{})
	serve := b.serve
	b.serve = func(ctx context.Context, c *teaseltack.Call) *teaseltack.Answer {
		if c.ID == "slow" {
			close(started)
			<-release
		}
		return serve(ctx, c)
	}
	done := make(chan error, 1)
	go func() {
		_, err := a.links.Forward(t.Context(), b.record, call("slow", false))
		done <- err
	}()
	<-started
	for range 5 * limit {
		conn, err := net.Dial("tcp", b.record.PeerAddress)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
	}
	answer, err := newNode(t, "c").links.Forward(t.Context(), b.record, call("x", false))
	assert.NilError(t, err)
	assert.Equal(t, string(answer.Body), "x")
	assert.Assert(t, connections.Held() <= limit)
	close(release)
	assert.NilError(t, <-done)
}

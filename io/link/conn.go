package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"teaseltack"
	"teaseltack/core/usage"
	peerv1 "teaseltack/gen/teaseltack/peer/v1"
	"teaseltack/io/wire"
)

const (
	// maxFrame bounds one frame in bytes, enough for the largest body and its headers.
	maxFrame = 80 << 20
	// readBuffer is the size of a connection's read buffer in bytes.
	readBuffer = 8 << 10
	// writeTimeout bounds one write, since a peer may have stopped reading.
	writeTimeout = 4 * time.Second
	// senderTime bounds the time for which a sender writes frames itself, those that others
	// queue meanwhile included.
	senderTime = 10 * time.Millisecond
	// maxKeptBuffer is the largest write buffer in bytes that is kept for reuse.
	maxKeptBuffer = 64 << 10
	// maxQueued is how many bytes may be queued before pongs, which may carry a document
	// each, are left out: the peer takes no bytes, or gets signs of life enough.
	maxQueued = 1 << 20
	// checkPeriod is the period of checking a connection that has pending calls.
	checkPeriod = 150 * time.Millisecond
	// suspectAfter is the time without a received frame after which idempotent calls are
	// confirmed as well. A confirmation costs a round trip, so it is left out on
	// connections that carry answers.
	suspectAfter = 100 * time.Millisecond
	// pingAfter is the time without a received frame after which a ping is sent.
	pingAfter = 250 * time.Millisecond
	// confirmTimeout bounds the time that a home waits for the entry's confirmation;
	// it covers a network delay of 100 ms and a busy entry.
	confirmTimeout = 400 * time.Millisecond
	// silentAfter is the time without a received frame after which the connection
	// counts as silent.
	silentAfter = 700 * time.Millisecond
)

// conn is one connection to another host. Only the host that dialled it sends calls
// on it; both hosts may send pings.
type conn struct {
	links *Links
	nc    net.Conn
	// peer is the host that was dialled; nil if the other host dialled.
	peer *peer
	// slot is the connection's place among those that other hosts dialled, memory what it
	// holds beside its calls. Both are nil for one that was dialled here.
	slot, memory *usage.Holder
	// lastNumber is the number of the last call that was sent.
	lastNumber atomic.Uint64
	// opened is when the connection was opened, answered is set once a frame was received.
	opened   time.Time
	answered atomic.Bool
	// lastReceived is when the last frame was received, in Unix nanoseconds.
	lastReceived atomic.Int64

	// writing guards the fields of the write queue.
	writing sync.Mutex
	// queued holds the frames after those in parts.
	queued []byte
	// parts holds what is written before queued: frames with long bodies, and those that
	// were queued before them.
	parts []part
	// spare is the buffer of the previous write, kept for reuse.
	spare []byte
	// flushing is set while a sender writes the queue.
	flushing bool
	// sentDocument is the generation of the last document that was queued ahead of a
	// refusal.
	sentDocument teaseltack.Generation

	// mu guards the fields below.
	mu sync.Mutex
	// outgoing holds the sent calls that wait for their answers, by frame number.
	outgoing map[uint64]*outgoingCall
	// incoming holds the cancel functions of the peer's running calls, by frame
	// number.
	incoming map[uint64]context.CancelFunc
	// unconfirmed holds the channels that are closed when the entry confirms a
	// call, by frame number.
	unconfirmed    map[uint64]chan struct{}
	checkScheduled bool
	// probedAt is when probe sent a ping, in Unix nanoseconds; check resets it to 0
	// once a later frame was received.
	probedAt int64
	closed   bool
}

// outgoingCall is a sent call that waits for its answer.
type outgoingCall struct {
	// id is set in the answer, which is sent without it: the frame number identifies
	// the call, and the nonce shows that the answer belongs to it.
	id   teaseltack.RequestID
	done chan callResult
	// needsConfirm is set if the home asks for a confirmation before it runs the call.
	needsConfirm bool
	// confirmed is set when this entry confirms the call to its home; until then a call
	// that needs it has not run.
	confirmed bool
}

// mayHaveRun reports whether the home may have run the call.
func (o *outgoingCall) mayHaveRun() bool {
	return !o.needsConfirm || o.confirmed
}

// refusal returns the refusal of a call that got no answer; its verdict is MayHaveRun
// if the home may have run the call, and NotRun otherwise.
func (o *outgoingCall) refusal(reason teaseltack.Reason, format string, args ...any) error {
	if o.mayHaveRun() {
		return teaseltack.Uncertain(reason, format, args...)
	}
	return teaseltack.Refuse(reason, format, args...)
}

type callResult struct {
	answer *teaseltack.Answer
	err    error
}

func newConn(l *Links, nc net.Conn, p *peer) *conn {
	c := &conn{links: l, nc: nc, peer: p, opened: l.cfg.Timers.Now(), outgoing: map[uint64]*outgoingCall{}, incoming: map[uint64]context.CancelFunc{}, unconfirmed: map[uint64]chan struct{}{}}
	c.markReceived()
	if p == nil {
		c.slot, c.memory = l.cfg.Connections.Enter(c.evictIdle), l.cfg.CallMemory.Enter(c.evictIdle)
	}
	return c
}

// enter reports whether there is room for the connection.
func (c *conn) enter() bool {
	return c.slot.Take(1) == nil && c.memory.Take(usage.ConnectionBytes) == nil
}

// evictIdle closes the connection unless it has calls of its peer.
func (c *conn) evictIdle() {
	c.mu.Lock()
	calls := len(c.incoming)
	c.mu.Unlock()
	if calls == 0 {
		c.close(errNoRoom)
	}
}

func (c *conn) markReceived() {
	c.lastReceived.Store(c.links.cfg.Timers.Now().UnixNano())
}

// call sends a call and waits for its answer or the end of ctx.
func (c *conn) call(ctx context.Context, to teaseltack.HostID, call *teaseltack.Call) (*teaseltack.Answer, error) {
	number := c.lastNumber.Add(1)
	toSend := *call
	toSend.ConfirmFirst = !call.NonIdempotent && c.isSuspect()
	sent := &outgoingCall{id: call.ID, done: make(chan callResult, 1), needsConfirm: call.NonIdempotent || toSend.ConfirmFirst, confirmed: call.Again}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, teaseltack.Refuse(teaseltack.ReasonConnection, "the connection to host %s is closed", to)
	}
	c.outgoing[number] = sent
	c.startChecks()
	c.mu.Unlock()
	request := wire.Codec{}.CallOut(to, &toSend, c.links.cfg.Timers.Now())
	c.sendHolding(&peerv1.Frame{Number: number, Call: request}, call.Payload.Memory)
	select {
	case result := <-sent.done:
		return result.answer, result.err
	case <-ctx.Done():
	}
	c.mu.Lock()
	_, pending := c.outgoing[number]
	delete(c.outgoing, number)
	c.mu.Unlock()
	if !pending {
		result := <-sent.done
		return result.answer, result.err
	}
	c.send(&peerv1.Frame{Number: number, Cancel: true})
	return nil, sent.refusal(teaseltack.ReasonLifetime, "no answer from host %s before the call ended: %v", to, context.Cause(ctx))
}

func (c *conn) handleAnswer(number uint64, answer *teaseltack.Answer) {
	c.mu.Lock()
	sent := c.outgoing[number]
	delete(c.outgoing, number)
	c.mu.Unlock()
	if sent == nil {
		return
	}
	answer.ID = sent.id
	sent.done <- callResult{answer: answer}
}

// failCall ends a call whose answer was not taken.
func (c *conn) failCall(number uint64, refusal error) {
	c.mu.Lock()
	sent := c.outgoing[number]
	delete(c.outgoing, number)
	c.mu.Unlock()
	if sent != nil {
		sent.done <- callResult{err: refusal}
	}
}

// scheduleCheck schedules the next check unless one is scheduled. The caller holds
// c.mu.
func (c *conn) scheduleCheck() {
	if c.checkScheduled {
		return
	}
	c.checkScheduled = true
	c.links.cfg.Timers.After(checkPeriod, c.check)
}

// startChecks starts the periodic checks of a connection that had no pending calls.
// The time without a frame counts from now, since the connection may have been idle
// for long. The caller holds c.mu.
func (c *conn) startChecks() {
	if !c.checkScheduled {
		c.markReceived()
	}
	c.scheduleCheck()
}

// isSuspect reports whether the connection has pending calls and received nothing for
// suspectAfter. The peer may then be cut off, so that calls need a proof that they have
// not run.
func (c *conn) isSuspect() bool {
	c.mu.Lock()
	pending := len(c.outgoing)
	c.mu.Unlock()
	return pending > 0 && c.silence() >= suspectAfter
}

// silence returns the time since the last frame was received.
func (c *conn) silence() time.Duration {
	return time.Duration(c.links.cfg.Timers.Now().UnixNano() - c.lastReceived.Load())
}

// check pings a connection on which no frame was received for pingAfter and abandons
// it after silentAfter.
func (c *conn) check() {
	silence := c.silence()
	c.mu.Lock()
	c.checkScheduled = false
	if c.lastReceived.Load() > c.probedAt {
		c.probedAt = 0
	}
	if c.closed || len(c.outgoing) == 0 && c.probedAt == 0 {
		c.mu.Unlock()
		return
	}
	c.scheduleCheck()
	c.mu.Unlock()
	switch {
	case silence >= silentAfter:
		c.abandon()
	case silence >= pingAfter:
		c.ping()
	}
}

// abandon makes new calls use another connection and fails the pending ones: this entry
// then tries another home, or asks the same one again for the answer of a confirmed
// non-idempotent call.
func (c *conn) abandon() {
	if c.links.detach(c.peer, c) {
		c.links.probeDataCentre(c.peer.record.DataCentre)
	}
	c.mu.Lock()
	failed := c.outgoing
	c.outgoing = map[uint64]*outgoingCall{}
	c.mu.Unlock()
	for _, sent := range failed {
		sent.done <- callResult{err: sent.refusal(teaseltack.ReasonConnection, "host %s sent nothing for at least %v", c.peer.record.Host, silentAfter)}
	}
}

// probe pings a connection and checks for the response, even without pending calls.
func (c *conn) probe() {
	c.mu.Lock()
	c.startChecks()
	c.probedAt = c.links.cfg.Timers.Now().UnixNano()
	c.mu.Unlock()
	c.ping()
}

// compare exchanges the generation in force with the peer. A connection that was dialled
// here and carries no response is replaced.
func (c *conn) compare() {
	if c.peer == nil {
		c.ping()
		return
	}
	c.probe()
}

// ping sends a ping without waiting until it is written.
func (c *conn) ping() {
	c.sendAside(&peerv1.Frame{Ping: c.links.newPing()})
}

// handleFrame handles a frame. What it holds is released once it is handled, a call once
// it is answered.
func (c *conn) handleFrame(f *peerv1.Frame, memory *usage.Holder) {
	if f.Call != nil {
		c.handleCall(f.Number, f.Call, memory)
		return
	}
	defer memory.Release()
	switch {
	case f.Answer != nil:
		c.learn(f.Answer.Generation)
		c.handleAnswer(f.Number, wire.Codec{}.AnswerIn(f.Answer))
	case f.Cancel:
		c.mu.Lock()
		cancel := c.incoming[f.Number]
		c.mu.Unlock()
		if cancel != nil {
			cancel()
		}
	case f.Ready:
		c.handleReady(f.Number)
	case f.Proceed:
		c.handleProceed(f.Number)
	case f.Ping != nil:
		c.handlePing(f.Ping)
	case f.Pong != nil:
		c.handlePong(f.Pong)
	}
}

// handlePing responds with the generation in force, and with its document if the
// peer's generation is older, unless too much is queued. It pings back to receive the
// peer's document if that is newer.
func (c *conn) handlePing(ping *peerv1.Ping) {
	c.links.heard(ping.Generation, ping.AgeMs)
	generation, document := c.links.cfg.Current()
	if ping.Generation > uint64(generation) {
		defer c.ping()
	}
	if c.isClogged() {
		return
	}
	pong := &peerv1.Pong{Generation: uint64(generation), AgeMs: c.links.cfg.Age().Milliseconds()}
	if uint64(generation) > ping.Generation {
		pong.Document = document
	}
	if ping.Alone {
		pong.Records = wire.Codec{}.RecordsOut(c.links.cfg.Records())
	}
	c.sendAside(&peerv1.Frame{Pong: pong})
}

func (c *conn) handlePong(pong *peerv1.Pong) {
	c.links.heard(pong.Generation, pong.AgeMs)
	if len(pong.Document) > 0 {
		c.links.cfg.OnConfig(teaseltack.Generation(pong.Generation), pong.Document)
	}
	if len(pong.Records) > 0 {
		c.links.cfg.OnRecords(wire.Codec{}.RecordsIn(pong.Records))
	}
}

// handleCall starts a call of the peer on a goroutine of its own.
func (c *conn) handleCall(number uint64, request *peerv1.ForwardRequest, memory *usage.Holder) {
	release := memory.Release
	defer func() { release() }()
	c.learn(request.Generation)
	call, err := wire.Codec{}.CallIn(request, c.links.cfg.Timers.Now())
	if err != nil {
		c.sendAnswer(number, refusedAnswer(request, teaseltack.Refuse(teaseltack.ReasonBadRequest, "%v", err)))
		return
	}
	if request.ToHost != string(c.links.cfg.Host) {
		c.sendAnswer(number, refusedAnswer(request, teaseltack.Refuse(teaseltack.ReasonWrongHost, "this is host %s, the call is for host %s", c.links.cfg.Host, request.ToHost)))
		return
	}
	if (call.NonIdempotent || call.ConfirmFirst) && !call.Again {
		call.Confirm = func(ctx context.Context) bool { return c.confirm(ctx, number) }
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		cancel()
		return
	}
	c.incoming[number] = cancel
	c.slot.Complete()
	c.memory.Complete()
	c.mu.Unlock()
	release = func() {}
	go func() {
		defer memory.Release()
		answer := c.links.cfg.Serve(ctx, call)
		c.sendAnswer(number, answer)
		c.mu.Lock()
		delete(c.incoming, number)
		if len(c.incoming) == 0 && !c.closed {
			c.slot.Receive()
			c.memory.Receive()
		}
		c.mu.Unlock()
		cancel()
	}()
}

// refusedAnswer returns the answer to a request that this host does not handle. If the
// request asks about an earlier call, this host does not know whether that call ran.
func refusedAnswer(request *peerv1.ForwardRequest, refusal *teaseltack.Refusal) *teaseltack.Answer {
	if request.Again {
		refusal = refusal.AsUncertain()
	}
	return &teaseltack.Answer{
		ID: teaseltack.RequestID(request.RequestId), Nonce: teaseltack.Nonce(request.Nonce), Refusal: refusal,
		RetriesLeft: teaseltack.Retries(request.Retries),
	}
}

// sendAnswer sends an answer without the request id, which the entry restores from
// the frame number.
func (c *conn) sendAnswer(number uint64, a *teaseltack.Answer) {
	message := wire.Codec{}.AnswerOut(a)
	message.RequestId = ""
	generation, document := c.links.cfg.Current()
	message.Generation = uint64(generation)
	frame := &peerv1.Frame{Number: number, Answer: message}
	if a.Refusal == nil || a.Refusal.Reason != teaseltack.ReasonConfiguration {
		c.send(frame)
		return
	}
	c.sendAfterDocument(frame, generation, document)
}

// close closes the connection once, cancels the peer's calls and fails the pending
// calls to the peer. These may have run, except calls that were not confirmed and need
// it.
func (c *conn) close(cause error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	outgoing, incoming := c.outgoing, c.incoming
	c.outgoing, c.incoming = map[uint64]*outgoingCall{}, map[uint64]context.CancelFunc{}
	c.mu.Unlock()
	_ = c.nc.Close()
	c.slot.Release()
	c.memory.Release()
	for _, cancel := range incoming {
		cancel()
	}
	if c.peer != nil {
		c.links.detach(c.peer, c)
	}
	c.links.mu.Lock()
	delete(c.links.incoming, c)
	c.links.mu.Unlock()
	for _, sent := range outgoing {
		sent.done <- callResult{err: sent.refusal(teaseltack.ReasonConnection, "the connection to host %s ended: %v", c.peer.record.Host, cause)}
	}
}

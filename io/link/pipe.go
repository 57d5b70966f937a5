package link

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"teaseltack"
	peerv1 "teaseltack/gen/teaseltack/peer/v1"
	"teaseltack/io/wire"
)

const (
	// maxFrame bounds one frame in bytes: the largest body and its headers.
	maxFrame = 80 << 20
	// readBuffer is the size of a link's read buffer in bytes.
	readBuffer = 8 << 10
	// writeTime bounds one write to a peer that does not read.
	writeTime = 4 * time.Second
	// keptBuffer is the largest write buffer in bytes that is kept for reuse.
	keptBuffer = 64 << 10
	// checkPeriod is the period of looking at a link with calls under way.
	checkPeriod = 150 * time.Millisecond
	// quietTime is the time without a frame after which a sign of life is asked.
	quietTime = 250 * time.Millisecond
	// confirmTime bounds the time that a home waits for the word of an entry; it
	// covers a way of 100 ms and a busy entry.
	confirmTime = 400 * time.Millisecond
	// silentTime is the time without a frame from which a link counts as silent.
	silentTime = 700 * time.Millisecond
)

// pipe is one connection. The host that dialled sends the calls.
type pipe struct {
	links *Links
	nc    net.Conn
	// peer is the host that was dialled; nil for a link that another opened.
	peer    *peer
	numbers atomic.Uint64
	heardAt atomic.Int64

	writing sync.Mutex
	out     []byte
	spare   []byte
	busy    bool

	mu      sync.Mutex
	calls   map[uint64]*outgoing
	running map[uint64]context.CancelFunc
	// holds has the calls that wait for the word of their entry.
	holds    map[uint64]chan struct{}
	watching bool
	// probedAt is when a sign of life was asked without a call under way; 0 once it
	// came.
	probedAt int64
	closed   bool
}

// outgoing is a call that waits for its answer.
type outgoing struct {
	// id is not sent back: the number finds it, and the nonce proves it.
	id   teaseltack.RequestID
	done chan outcome
	once bool
	// proceeded is set once the home was told that a call which may run once may
	// run; before that it has not.
	proceeded bool
}

// mayHaveRun reports whether the home may have run the call.
func (o *outgoing) mayHaveRun() bool {
	return !o.once || o.proceeded
}

// unanswered makes the refusal of a call without an answer.
func (o *outgoing) unanswered(reason teaseltack.Reason, format string, args ...any) error {
	if o.mayHaveRun() {
		return teaseltack.Uncertain(reason, format, args...)
	}
	return teaseltack.Refuse(reason, format, args...)
}

type outcome struct {
	answer *teaseltack.Answer
	err    error
}

func newPipe(l *Links, nc net.Conn, p *peer) *pipe {
	made := &pipe{links: l, nc: nc, peer: p, calls: map[uint64]*outgoing{}, running: map[uint64]context.CancelFunc{}, holds: map[uint64]chan struct{}{}}
	made.heard()
	return made
}

func (p *pipe) heard() {
	p.heardAt.Store(p.links.cfg.Timers.Now().UnixNano())
}

// send queues a frame and writes what is queued, unless another sender is at it.
func (p *pipe) send(f *peerv1.Frame) {
	p.writing.Lock()
	p.out = protowire.AppendVarint(p.out, uint64(proto.Size(f)))
	var err error
	if p.out, err = (proto.MarshalOptions{UseCachedSize: true}).MarshalAppend(p.out, f); err != nil {
		p.writing.Unlock()
		p.close(err)
		return
	}
	if p.busy {
		p.writing.Unlock()
		return
	}
	p.busy = true
	for err == nil && len(p.out) > 0 {
		batch := p.out
		p.out = p.spare[:0]
		p.writing.Unlock()
		_ = p.nc.SetWriteDeadline(time.Now().Add(writeTime))
		_, err = p.nc.Write(batch)
		p.writing.Lock()
		if p.spare = batch; cap(batch) > keptBuffer {
			p.spare = nil
		}
	}
	p.busy = false
	p.writing.Unlock()
	if err != nil {
		p.close(err)
	}
}

// call sends a call and waits for its answer.
func (p *pipe) call(ctx context.Context, to teaseltack.HostID, call *teaseltack.Call) (*teaseltack.Answer, error) {
	number := p.numbers.Add(1)
	waiting := &outgoing{id: call.ID, done: make(chan outcome, 1), once: call.NonIdempotent}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, teaseltack.Refuse(teaseltack.ReasonConnection, "the link to host %s has ended", to)
	}
	p.calls[number] = waiting
	p.resume()
	p.mu.Unlock()
	request := wire.Codec{}.CallOut(to, call, p.links.cfg.Timers.Now())
	p.send(&peerv1.Frame{Number: number, Call: request})
	select {
	case end := <-waiting.done:
		return end.answer, end.err
	case <-ctx.Done():
	}
	p.mu.Lock()
	_, still := p.calls[number]
	delete(p.calls, number)
	p.mu.Unlock()
	if !still {
		end := <-waiting.done
		return end.answer, end.err
	}
	p.send(&peerv1.Frame{Number: number, Cancel: true})
	return nil, waiting.unanswered(teaseltack.ReasonLifetime, "host %s did not answer in time", to)
}

func (p *pipe) finish(number uint64, answer *teaseltack.Answer) {
	p.mu.Lock()
	waiting := p.calls[number]
	delete(p.calls, number)
	p.mu.Unlock()
	if waiting == nil {
		return
	}
	answer.ID = waiting.id
	waiting.done <- outcome{answer: answer}
}

// watch looks after a link while calls are under way; called with the lock.
func (p *pipe) watch() {
	if p.watching {
		return
	}
	p.watching = true
	p.links.cfg.Timers.After(checkPeriod, p.check)
}

// resume starts the watch of a link that had no calls: it is quiet from now on
// and not since its last frame; called with the lock.
func (p *pipe) resume() {
	if !p.watching {
		p.heard()
	}
	p.watch()
}

// check asks a quiet link for a sign of life and gives up a silent one.
func (p *pipe) check() {
	now := p.links.cfg.Timers.Now()
	quiet := time.Duration(now.UnixNano() - p.heardAt.Load())
	p.mu.Lock()
	p.watching = false
	if p.heardAt.Load() > p.probedAt {
		p.probedAt = 0
	}
	if p.closed || len(p.calls) == 0 && p.probedAt == 0 {
		p.mu.Unlock()
		return
	}
	p.watch()
	p.mu.Unlock()
	switch {
	case quiet >= silentTime:
		p.abandon()
	case quiet >= quietTime:
		p.ping()
	}
}

// abandon moves new calls to another link. Calls that may run again, or that
// were not told to proceed, fail, so that they are tried elsewhere; the others
// wait on, as their home may only be held up.
func (p *pipe) abandon() {
	if p.links.lose(p.peer, p) {
		p.links.probe(p.peer.record.DataCentre)
	}
	p.mu.Lock()
	var failed []*outgoing
	for number, c := range p.calls {
		if !c.once || !c.proceeded {
			failed = append(failed, c)
			delete(p.calls, number)
		}
	}
	p.mu.Unlock()
	for _, c := range failed {
		c.done <- outcome{err: c.unanswered(teaseltack.ReasonConnection, "host %s is silent", p.peer.record.Host)}
	}
}

// probe asks a link, which may have no calls under way, for a sign of life.
func (p *pipe) probe() {
	p.mu.Lock()
	p.resume()
	p.probedAt = p.links.cfg.Timers.Now().UnixNano()
	p.mu.Unlock()
	p.ping()
}

func (p *pipe) ping() {
	p.send(&peerv1.Frame{Ping: p.links.pingOf()})
}

// read takes frames until the connection ends.
func (p *pipe) read() {
	reader := bufio.NewReaderSize(p.nc, readBuffer)
	options := protodelim.UnmarshalOptions{MaxSize: maxFrame}
	for {
		frame := &peerv1.Frame{}
		if err := options.UnmarshalFrom(reader, frame); err != nil {
			p.close(err)
			return
		}
		p.heard()
		p.take(frame)
	}
}

func (p *pipe) take(f *peerv1.Frame) {
	switch {
	case f.Call != nil:
		p.start(f.Number, f.Call)
	case f.Answer != nil:
		p.finish(f.Number, wire.Codec{}.AnswerIn(f.Answer))
	case f.Cancel:
		p.mu.Lock()
		cancel := p.running[f.Number]
		p.mu.Unlock()
		if cancel != nil {
			cancel()
		}
	case f.Ready:
		p.proceed(f.Number)
	case f.Proceed:
		p.release(f.Number)
	case f.Ping != nil:
		p.pong(f.Ping)
	case f.Pong != nil:
		p.takePong(f.Pong)
	}
}

func (p *pipe) pong(ping *peerv1.Ping) {
	generation, document := p.links.cfg.Current()
	pong := &peerv1.Pong{Generation: uint64(generation)}
	if uint64(generation) > ping.Generation {
		pong.Document = document
	}
	if ping.Alone {
		pong.Records = wire.Codec{}.RecordsOut(p.links.cfg.Records())
	}
	p.send(&peerv1.Frame{Pong: pong})
	if ping.Generation > uint64(generation) {
		p.ping()
	}
}

func (p *pipe) takePong(pong *peerv1.Pong) {
	if len(pong.Document) > 0 {
		p.links.cfg.OnConfig(teaseltack.Generation(pong.Generation), pong.Document)
	}
	if len(pong.Records) > 0 {
		p.links.cfg.OnRecords(wire.Codec{}.RecordsIn(pong.Records))
	}
}

// start runs a call of the peer.
func (p *pipe) start(number uint64, request *peerv1.ForwardRequest) {
	call, err := wire.Codec{}.CallIn(request, p.links.cfg.Timers.Now())
	if err != nil {
		p.answer(number, refused(request, teaseltack.Refuse(teaseltack.ReasonBadRequest, "%v", err)))
		return
	}
	if request.ToHost != string(p.links.cfg.Host) {
		p.answer(number, refused(request, teaseltack.Refuse(teaseltack.ReasonWrongHost, "this is host %s", p.links.cfg.Host)))
		return
	}
	if call.NonIdempotent {
		call.Confirm = func(ctx context.Context) bool { return p.confirm(ctx, number) }
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		cancel()
		return
	}
	p.running[number] = cancel
	p.mu.Unlock()
	go func() {
		answer := p.links.cfg.Serve(ctx, call)
		p.answer(number, answer)
		p.mu.Lock()
		delete(p.running, number)
		p.mu.Unlock()
		cancel()
	}()
}

func refused(request *peerv1.ForwardRequest, refusal *teaseltack.Refusal) *teaseltack.Answer {
	return &teaseltack.Answer{
		ID: teaseltack.RequestID(request.RequestId), Nonce: teaseltack.Nonce(request.Nonce), Refusal: refusal,
		RetriesLeft: teaseltack.Tokens(request.Retries),
	}
}

func (p *pipe) answer(number uint64, a *teaseltack.Answer) {
	answer := wire.Codec{}.AnswerOut(a)
	answer.RequestId = ""
	p.send(&peerv1.Frame{Number: number, Answer: answer})
}

// close ends the link: its own calls may have run, and the peer's are cancelled.
func (p *pipe) close(cause error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.closed = true
	calls, running := p.calls, p.running
	p.calls, p.running = map[uint64]*outgoing{}, map[uint64]context.CancelFunc{}
	p.mu.Unlock()
	_ = p.nc.Close()
	for _, cancel := range running {
		cancel()
	}
	if p.peer != nil {
		p.links.lose(p.peer, p)
	}
	p.links.mu.Lock()
	delete(p.links.incoming, p)
	p.links.mu.Unlock()
	for _, c := range calls {
		c.done <- outcome{err: c.unanswered(teaseltack.ReasonConnection, "the link broke: %v", cause)}
	}
}

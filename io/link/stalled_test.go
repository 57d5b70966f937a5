package link_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"teaseltack"
	peerv1 "teaseltack/gen/teaseltack/peer/v1"
	"teaseltack/io/link"
	"teaseltack/io/wire"
)

// soon is much less than the time after which a write fails.
const soon = 2 * time.Second

// pipes is a listener whose connections are pipes: bytes are taken only while the other end
// reads them.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) {
	nc, open := <-p
	if !open {
		return nil, net.ErrClosed
	}
	return nc, nil
}

func (pipes) Close() error { return nil }

func (pipes) Addr() net.Addr { return &net.TCPAddr{} }

// dial connects to the listener's host.
func (p pipes) dial(t *testing.T) *frames {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close() })
	p <- far
	return &frames{conn: near, reader: bufio.NewReader(near)}
}

// listenOnPipes makes a node serve a listener of pipes as well.
func listenOnPipes(t *testing.T, n *node) pipes {
	t.Helper()
	p := make(pipes)
	go n.links.Serve(p)
	t.Cleanup(func() { close(p) })
	return p
}

// frames is the other host's end of a connection.
type frames struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (f *frames) write(t *testing.T, frame *peerv1.Frame) {
	t.Helper()
	content, err := proto.Marshal(frame)
	assert.NilError(t, err)
	_ = f.conn.SetWriteDeadline(time.Now().Add(soon))
	_, err = f.conn.Write(append(protowire.AppendVarint(nil, uint64(len(content))), content...))
	assert.NilError(t, err)
}

func (f *frames) read(t *testing.T) *peerv1.Frame {
	t.Helper()
	_ = f.conn.SetReadDeadline(time.Now().Add(testTimeout))
	size, err := binary.ReadUvarint(f.reader)
	assert.NilError(t, err)
	content := make([]byte, size)
	_, err = io.ReadFull(f.reader, content)
	assert.NilError(t, err)
	frame := &peerv1.Frame{}
	assert.NilError(t, proto.Unmarshal(content, frame))
	return frame
}

// Guards against a configuration that reaches hosts late because others take no bytes.
func TestHostsThatTakeNoBytesDelayNoNoticeToOthers(t *testing.T) {
	n := newNodeWith(t, "a", noPeriods{})
	p := listenOnPipes(t, n)
	for range 3 {
		p.dial(t)
	}
	healthy := p.dial(t)
	healthy.write(t, &peerv1.Frame{Ping: &peerv1.Ping{}})
	assert.Assert(t, healthy.read(t).Pong != nil)
	n.generation.Store(7)
	start := time.Now()
	notified := make(chan time.Duration, 1)
	go func() {
		n.links.NotifyPeers()
		notified <- time.Since(start)
	}()
	assert.Equal(t, healthy.read(t).GetPing().GetGeneration(), uint64(7))
	told := time.Since(start)
	took := <-notified
	assert.Check(t, told < soon, "the healthy host was told after %v", told)
	assert.Check(t, took < soon, "the caller waited for %v", took)
}

// Guards against frames that wait unread because their host takes no bytes of a pong.
func TestAHostThatTakesNoBytesIsStillRead(t *testing.T) {
	heard := make(chan teaseltack.Generation, 100)
	n := newNodeFor(t, "a", noPeriods{}, func(c *link.Config) {
		c.OnGeneration = func(generation teaseltack.Generation, _ time.Duration) { heard <- generation }
	})
	stalled := listenOnPipes(t, n).dial(t)
	for generation := range uint64(3) {
		stalled.write(t, &peerv1.Frame{Ping: &peerv1.Ping{Generation: generation}})
	}
	for want := range teaseltack.Generation(3) {
		select {
		case got := <-heard:
			assert.Equal(t, got, want)
		case <-time.After(soon):
			t.Fatalf("generation %d is not read within %v", want, soon)
		}
	}
}

// Guards against pongs that fill the memory while their host takes no bytes.
func TestAHostThatTakesNoBytesGetsFewPongs(t *testing.T) {
	document := make([]byte, 64<<10)
	n := newNodeFor(t, "a", noPeriods{}, func(c *link.Config) {
		c.Current = func() (teaseltack.Generation, []byte) { return 1, document }
	})
	stalled := listenOnPipes(t, n).dial(t)
	for range 500 {
		stalled.write(t, &peerv1.Frame{Ping: &peerv1.Ping{}})
	}
	_ = stalled.conn.SetReadDeadline(time.Now().Add(soon))
	queued, _ := io.Copy(io.Discard, stalled.conn)
	assert.Assert(t, queued > int64(len(document)) && queued < 4<<20, "%d bytes were queued", queued)
	stalled.write(t, &peerv1.Frame{Ping: &peerv1.Ping{}})
	assert.Equal(t, len(stalled.read(t).GetPong().GetDocument()), len(document))
}

// Guards against a caller that waits beyond its deadline since its call is the one that
// fills the buffers of a host that takes no bytes.
func TestCallsToAHostThatTakesNoBytesEndInTime(t *testing.T) {
	a := newNode(t, "a")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	record := teaseltack.Record{Host: "silent", PeerAddress: listener.Addr().String()}
	forward := func(id string, limit time.Duration) {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		c := call(id, false)
		c.Payload.Body = make([]byte, 15<<10)
		_, err := a.links.Forward(ctx, record, c)
		assert.Check(t, err != nil)
	}
	forward("first", soon/20)
	start := time.Now()
	var calls sync.WaitGroup
	for i := range 1000 {
		calls.Go(func() { forward(strconv.Itoa(i), soon/4) })
	}
	calls.Wait()
	took := time.Since(start)
	assert.Assert(t, took < soon, "the last call ended after %v, its deadline was %v", took, soon/4)
}

// slowConn takes some bytes at a time and pauses before each.
type slowConn struct{ net.Conn }

func (c slowConn) Read(p []byte) (int, error) {
	time.Sleep(6 * time.Millisecond)
	return c.Conn.Read(p)
}

// Guards against bytes that are lost or written twice when a sender leaves the rest of its
// frame to another goroutine.
func TestAnswersArriveWholeAtAHostThatReadsSlowly(t *testing.T) {
	n := newNodeWith(t, "a", noPeriods{})
	slow := listenOnPipes(t, n).dial(t)
	slow.reader = bufio.NewReader(slowConn{slow.conn})
	const bursts, size = 5, 10
	// Some bodies are long enough to be queued as parts of their own.
	body := func(i uint64) []byte { return bytes.Repeat([]byte{'a' + byte(i)}, 10<<10<<(3*(i%2))) }
	for range bursts {
		go func() {
			for i := range uint64(size) {
				c := call(strconv.FormatUint(i, 10), false)
				c.Payload.Body = body(i)
				slow.write(t, &peerv1.Frame{Number: i, Call: wire.Codec{}.CallOut("a", c, time.Now())})
				time.Sleep(2 * time.Millisecond)
			}
		}()
		answered := map[uint64]bool{}
		for len(answered) < size {
			frame := slow.read(t)
			answered[frame.Number] = true
			assert.Assert(t, bytes.Equal(frame.GetAnswer().GetBody(), body(frame.Number)), "answer %d differs", frame.Number)
		}
	}
}

package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// crowdSize is the number of clients that send bodies at once. Their bodies together
	// exceed hostMemory.
	crowdSize = 24
	// crowdBody is the largest legal body in bytes, which is the default of max-body-bytes.
	crowdBody = 8 << 20
	// completePeriod makes one client in so many send all of its body.
	completePeriod = 8
	// hostMemory bounds the memory of a daemon in bytes. It is memory-mb of the daemons on
	// the platform and stands for the host's memory in stand-alone mode.
	hostMemory = 128 << 20
	// overrun is how much a client sends of a body that is far over the limit.
	overrun = 4 * crowdBody
	// sendTimeout bounds the time for which a client sends.
	sendTimeout = 30 * time.Second

	// connectionCrowd is the number of clients that open a connection and stay. They are
	// more than the descriptors that the daemon's process may open.
	connectionCrowd = 300
	maxDescriptors  = 256
	// usableDescriptors leaves an eighth for the daemon's own connections.
	usableDescriptors = maxDescriptors * 7 / 8
)

// shape is how the clients of a crowd send their bodies.
type shape string

const (
	// whole announces the length and sends the body in one piece.
	whole shape = "whole"
	// pieces announces the length and sends the body in small pieces.
	pieces shape = "pieces"
	// largeChunks and smallChunks send the body in chunks.
	largeChunks shape = "large-chunks"
	smallChunks shape = "small-chunks"
	// announcedOver announces a length far over the limit.
	announcedOver shape = "announced-over"
	// sentOver sends chunks far over the limit.
	sentOver shape = "sent-over"
)

var shapes = []shape{whole, pieces, largeChunks, smallChunks, announcedOver, sentOver}

const (
	pieceBytes      = 16 << 10
	largeChunkBytes = 64 << 10
	smallChunkBytes = 16
	// batchBytes is how much is written at once of a body in chunks.
	batchBytes = 64 << 10
)

// send sends a body of the shape after the head, and stops just short of its end unless it
// is complete. The daemon may close the connection meanwhile.
func (s shape) send(w io.Writer, head string, size int, complete bool) error {
	switch s {
	case largeChunks:
		return sendChunks(w, head, largeChunkBytes, size, complete)
	case smallChunks:
		return sendChunks(w, head, smallChunkBytes, size, complete)
	case sentOver:
		return sendChunks(w, head, largeChunkBytes, overrun, false)
	case announcedOver:
		return sendPieces(w, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, 1<<40), overrun, pieceBytes)
	case pieces:
		return sendPieces(w, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, size), sentBytes(size, complete), pieceBytes)
	}
	return sendPieces(w, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, size), sentBytes(size, complete), size)
}

// sentBytes is how much a client sends of a body that has a length.
func sentBytes(size int, complete bool) int {
	if complete {
		return size
	}
	return size - 1
}

func sendPieces(w io.Writer, head string, total, size int) error {
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	piece := make([]byte, size)
	for total > 0 {
		n, err := w.Write(piece[:min(size, total)])
		if err != nil {
			return err
		}
		total -= n
	}
	return nil
}

func sendChunks(w io.Writer, head string, size, total int, complete bool) error {
	out := bufio.NewWriterSize(w, batchBytes)
	if _, err := io.WriteString(out, head+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, bytes.Repeat([]byte{'x'}, size))
	for ; total > 0; total -= size {
		if _, err := out.Write(chunk); err != nil {
			return err
		}
	}
	if complete {
		if _, err := io.WriteString(out, "0\r\n\r\n"); err != nil {
			return err
		}
	}
	return out.Flush()
}

// crowd is a number of connections that stay open until the test closes them.
type crowd struct {
	t     *testing.T
	conns []net.Conn
}

// newCrowd opens connections. Those that the daemon refuses are left out.
func newCrowd(t *testing.T, address string, size int) *crowd {
	t.Helper()
	c := &crowd{t: t}
	t.Cleanup(c.leave)
	for range size {
		conn, err := net.DialTimeout("tcp", address, sendTimeout)
		if err != nil {
			continue
		}
		c.conns = append(c.conns, conn)
		go func() { _, _ = io.Copy(io.Discard, conn) }()
	}
	return c
}

// send calls write for all connections at once and waits until all have ended.
func (c *crowd) send(write func(conn net.Conn, client int) error) {
	var group sync.WaitGroup
	for i, conn := range c.conns {
		_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
		group.Go(func() { _ = write(conn, i) })
	}
	group.Wait()
}

func (c *crowd) leave() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// TestACrowdOfBodiesFitsTheMemory guards against clients that send many large bodies at
// once, most of which stop just short of their end, and against bodies far over the limit.
// The daemon must stay within its memory and answer an ordinary caller while the crowd
// stays, and a body of the largest legal size once the crowd has left.
func TestACrowdOfBodiesFitsTheMemory(t *testing.T) {
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			for _, listener := range kind.bodyListeners {
				t.Run(listener, func(t *testing.T) {
					for _, s := range kind.shapes(listener) {
						t.Run(string(s), func(t *testing.T) { checkBodies(t, kind, listener, s) })
					}
				})
			}
		})
	}
}

func checkBodies(t *testing.T, kind kind, listener string, s shape) {
	site := kind.start(t, 0)
	usage := site.daemon.watch()
	crowd := newCrowd(t, site.listeners[listener], crowdSize)
	crowd.send(func(conn net.Conn, client int) error {
		return site.send(conn, listener, s, client%completePeriod == 0)
	})
	site.checkOrdinaryCaller(t)
	crowd.leave()
	site.checkLargestBody(t)
	site.checkAlive(t)
	most := usage.stop()
	t.Logf("the daemon held %d MiB and %d descriptors at most", most.memory>>20, most.descriptors)
	assert.Check(t, most.memory <= hostMemory, "the daemon held %d bytes, its host has %d", most.memory, hostMemory)
	assert.Check(t, most.descriptors <= usableDescriptors, "the daemon held %d descriptors", most.descriptors)
}

// TestACrowdOfConnectionsFitsTheDescriptors guards against clients that open more
// connections than the daemon may have descriptors, send nothing or the start of a head,
// and stay.
func TestACrowdOfConnectionsFitsTheDescriptors(t *testing.T) {
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			for _, listener := range kind.listeners {
				t.Run(listener, func(t *testing.T) {
					for name, start := range map[string]string{"silent": "", "half-a-head": "POST / HT"} {
						t.Run(name, func(t *testing.T) { checkConnections(t, kind, listener, start) })
					}
				})
			}
		})
	}
}

func checkConnections(t *testing.T, kind kind, listener, start string) {
	site := kind.start(t, maxDescriptors)
	usage := site.daemon.watch()
	crowd := newCrowd(t, site.listeners[listener], connectionCrowd)
	crowd.send(func(conn net.Conn, _ int) error {
		_, err := io.WriteString(conn, start)
		return err
	})
	site.checkOrdinaryCaller(t)
	site.checkAlive(t)
	most := usage.stop()
	t.Logf("the daemon held %d MiB and %d descriptors at most", most.memory>>20, most.descriptors)
	assert.Check(t, most.memory <= hostMemory, "the daemon held %d bytes, its host has %d", most.memory, hostMemory)
	assert.Check(t, most.descriptors <= usableDescriptors, "the daemon held %d descriptors of %d", most.descriptors, maxDescriptors)
}

// TestTheLargestBodyIsServedInCalm guards against bounds that a single request inside the
// limits meets. The entry passes the body on to a backend server on its own host or on
// another one.
func TestTheLargestBodyIsServedInCalm(t *testing.T) {
	for _, kind := range kinds {
		for _, place := range []string{"own", "other"} {
			for _, s := range []shape{whole, pieces, largeChunks, smallChunks} {
				t.Run(kind.name+"/"+place+"/"+string(s), func(t *testing.T) {
					site := kind.start(t, 0)
					entry := site.outer
					if place == "other" {
						entry = kind.addEntry(t, site)
					}
					waitUntil(t, "the largest body is served", func() bool { return site.sendBody(t, entry, s, crowdBody) == http.StatusOK })
					site.checkAlive(t)
				})
			}
		}
	}
}

// pagesBody is the largest body that the users' platform allows, in bytes.
const pagesBody = 64 << 20

// pagesMemories are the memories of the smallest hosts on the users' platform in bytes.
var pagesMemories = []int{284 << 20, 184 << 20}

// TestTheLargestBodyOnThePlatformFitsTheMemory guards against copies of a body that do not
// fit the memory of the smallest host beside it.
func TestTheLargestBodyOnThePlatformFitsTheMemory(t *testing.T) {
	for _, memory := range pagesMemories {
		for _, place := range []string{"own", "other"} {
			for _, s := range []shape{whole, pieces, largeChunks, smallChunks} {
				t.Run(fmt.Sprintf("%d/%s/%s", memory>>20, place, s), func(t *testing.T) { checkLargestBodyOnThePlatform(t, memory, place == "other", s) })
			}
		}
	}
}

func checkLargestBodyOnThePlatform(t *testing.T, memory int, otherEntry bool, s shape) {
	store := startStore(t, pagesBody)
	sites := []*site{startSidecar(t, sidecarHost{name: "home", service: "shop", store: store, memory: memory})}
	if otherEntry {
		sites = append(sites, startSidecar(t, sidecarHost{name: "entry", service: "other", store: store, memory: memory}))
	}
	entry := sites[len(sites)-1]
	entry.checkOrdinaryCaller(t)
	var watches []*usageWatch
	for _, s := range sites {
		watches = append(watches, s.daemon.watch())
	}
	waitUntil(t, "the largest body is served", func() bool { return entry.sendBody(t, entry.outer, s, pagesBody) == http.StatusOK })
	for i, w := range watches {
		most := w.stop()
		t.Logf("daemon %d held %d MiB at most", i, most.memory>>20)
		assert.Check(t, most.memory <= int64(memory), "daemon %d held %d bytes, its host has %d", i, most.memory, memory)
		sites[i].checkAlive(t)
	}
}

// site is a daemon with a backend server of the service shop.
type site struct {
	daemon    *process
	outer     string
	listeners map[string]string
	// head returns the start of a request to a listener without the fields of its body.
	head func(listener string) string
	// frames holds the listeners whose messages are frames and not requests.
	frames map[string]bool
	ready  string
}

// attempts numbers the requests of all tests.
var attempts atomic.Int64

func (s *site) send(w io.Writer, listener string, sh shape, complete bool) error {
	if s.frames[listener] {
		return sendFrame(w, sh, complete)
	}
	return sh.send(w, s.head(listener), crowdBody, complete)
}

// sendFrame sends a frame of the protocol between daemons, which begins with its length.
func sendFrame(w io.Writer, s shape, complete bool) error {
	size, length, total := crowdBody, uint64(crowdBody), sentBytes(crowdBody, complete)
	if s != whole {
		size = pieceBytes
	}
	if s == announcedOver {
		length, total = 1<<40, overrun
	}
	var head []byte
	for ; length >= 1<<7; length >>= 7 {
		head = append(head, byte(length)|1<<7)
	}
	return sendPieces(w, string(append(head, byte(length))), total, size)
}

// sendBody sends one complete body to an entry and returns the status of the answer; 0
// stands for none.
func (s *site) sendBody(t *testing.T, entry string, sh shape, size int) int {
	t.Helper()
	conn, err := net.DialTimeout("tcp", entry, sendTimeout)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(sendTimeout))
	go func() { _ = sh.send(conn, s.head("outer"), size, true) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

func (s *site) checkOrdinaryCaller(t *testing.T) {
	t.Helper()
	waitUntil(t, "an ordinary request is answered", func() bool { return s.ordinaryStatus() == http.StatusOK })
}

// ordinaryStatus sends a small request over a connection of its own.
func (s *site) ordinaryStatus() int {
	conn, err := net.DialTimeout("tcp", s.outer, sendTimeout)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(sendTimeout))
	if _, err := io.WriteString(conn, s.head("outer")+"Content-Length: 4\r\n\r\nbody"); err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (s *site) checkLargestBody(t *testing.T) {
	t.Helper()
	waitUntil(t, "the largest body is served after the crowd", func() bool { return s.sendBody(t, s.outer, whole, crowdBody) == http.StatusOK })
}

func (s *site) checkAlive(t *testing.T) {
	t.Helper()
	select {
	case <-s.daemon.done:
		t.Fatalf("the daemon has ended: %v\n%s", s.daemon.err, s.daemon.outputText())
	default:
	}
	waitUntil(t, "the daemon is ready", func() bool { return status(s.ready) == http.StatusOK })
}

// usage is what a process held at most.
type usage struct {
	memory      int64
	descriptors int
}

// usageWatch samples the descriptors of a process.
type usageWatch struct {
	pid  int
	end  chan struct{}
	most chan int
}

func (p *process) watch() *usageWatch {
	w := &usageWatch{pid: p.command.Process.Pid, end: make(chan struct{}), most: make(chan int)}
	go func() {
		most := 0
		for {
			select {
			case <-w.end:
				w.most <- most
				return
			case <-time.After(time.Millisecond):
				entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.pid))
				most = max(most, len(entries))
			}
		}
	}()
	return w
}

// stop ends the samples. The memory is the kernel's record of the process's peak.
func (w *usageWatch) stop() usage {
	close(w.end)
	most := usage{descriptors: <-w.most}
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.pid))
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			most.memory = kb << 10
		}
	}
	return most
}

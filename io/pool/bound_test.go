package pool_test

import (
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/core/usage"
	"teaseltack/io/clock"
	"teaseltack/io/pool"
)

// endlessAnswers are answers that never end, by the part that goes on.
var endlessAnswers = map[string]struct{ start, more string }{
	"a head of long lines":  {"HTTP/1.1 200 OK\r\n", "X-Long: " + strings.Repeat("a", 1<<10) + "\r\n"},
	"a head of short lines": {"HTTP/1.1 200 OK\r\n", strings.Repeat("a:\r\nb:\r\nc:\r\n", 100)},
	"one line":              {"HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("a", 1<<10)},
	"informational answers": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 40)},
	"a body of chunks":      {"HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"},
	"a chunk size":          {"HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 1<<10)},
	"chunk extensions":      {"HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("e", 1<<10) + "\r\nx\r\n"},
	"trailers":              {"HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Long: " + strings.Repeat("a", 1<<10) + "\r\n"},
	"a body without length": {"HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\n\r\n", strings.Repeat("x", 1<<10)},
	"an announced length":   {"HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nContent-Length: 1000000000000\r\n\r\n", strings.Repeat("x", 1<<10)},
}

// endlessServer sends an answer without end on each connection until it closes. It
// starts once it has as many connections as given.
func endlessServer(t *testing.T, connections int64, start, more string) (address string, closed func(int)) {
	t.Helper()
	ended := make(chan struct{}, connections)
	begin := make(chan struct{})
	s := newServer(t, func(number int64, _ *http.Request, conn net.Conn) bool {
		defer func() { ended <- struct{}{} }()
		if number == connections {
			close(begin)
		}
		<-begin
		text := []byte(start)
		for {
			if _, err := conn.Write(text); err != nil {
				return false
			}
			text = []byte(more)
		}
	})
	return s.listener.Addr().String(), func(count int) {
		for range count {
			select {
			case <-ended:
			case <-time.After(testTimeout):
				t.Fatal("a connection with an answer without end stays open")
			}
		}
	}
}

func TestAnAnswerWithoutEndIsBoundedAndMayHaveRun(t *testing.T) {
	for name, answer := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, closed := endlessServer(t, 1, answer.start, answer.more)
			p := pool.New(pool.Config{Timers: clock.Clock{}, MaxAnswerBytes: 1 << 20, Reading: usage.New(usage.Answers(clock.Clock{}, 4<<20))})
			p.SetAddress(address)
			_, err := do(t, p, "a")
			assertVerdict(t, err, teaseltack.MayHaveRun)
			t.Log(err)
			closed(1)
		})
	}
}

// Guards against the memory of a host: the smallest has 184 MB, and its server up to 250
// slots, each of which may send bytes without end.
func TestAllSlotsOfAnswersWithoutEndFitTheSmallestHost(t *testing.T) {
	const (
		hostBytes = 184 << 20
		slots     = 250
		// memoryPercent is the part of the host's memory that the program sets as the
		// runtime's limit.
		memoryPercent = 70
	)
	before := debug.SetMemoryLimit(hostBytes * memoryPercent / 100)
	defer debug.SetMemoryLimit(before)
	for name, answer := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			address, closed := endlessServer(t, slots, answer.start, answer.more)
			p := pool.New(pool.Config{Timers: clock.Clock{}, MaxAnswerBytes: hostBytes / 4, Reading: usage.New(usage.Answers(clock.Clock{}, hostBytes/4))})
			p.SetAddress(address)
			runtime.GC()
			stop := make(chan struct{})
			peak := watchHeap(stop)
			var calls sync.WaitGroup
			for range slots {
				calls.Go(func() {
					_, err := do(t, p, "a")
					assert.Check(t, teaseltack.AsRefusal(err).Verdict == teaseltack.MayHaveRun, "%v", err)
				})
			}
			calls.Wait()
			close(stop)
			closed(slots)
			assert.Assert(t, <-peak < hostBytes, "the heap grew by more than the smallest host has")
		})
	}
}

// watchHeap returns a channel that gets the peak of the heap in use, less that at the
// start, once stop is closed.
func watchHeap(stop <-chan struct{}) <-chan uint64 {
	result := make(chan uint64, 1)
	var first runtime.MemStats
	runtime.ReadMemStats(&first)
	go func() {
		peak := first.HeapInuse
		for {
			select {
			case <-stop:
				result <- peak - first.HeapInuse
				return
			case <-time.After(5 * time.Millisecond):
			}
			var now runtime.MemStats
			runtime.ReadMemStats(&now)
			peak = max(peak, now.HeapInuse)
		}
	}()
	return result
}

func TestLargeAnswersDoNotFailSmallOnes(t *testing.T) {
	release := make(chan struct{})
	s := newServer(t, func(_ int64, r *http.Request, conn net.Conn) bool {
		if r.Header.Get(idHeader) == "large" {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n" + idHeader + ": large\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 199_999)))
			<-release
			_, err := conn.Write([]byte("x"))
			return err == nil
		}
		_, err := conn.Write([]byte(completeAnswer(r.Header.Get(idHeader), "ok")))
		return err == nil
	})
	p := pool.New(pool.Config{Timers: clock.Clock{}, MaxAnswerBytes: 200_000, Reading: usage.New(usage.Answers(clock.Clock{}, 200_000))})
	p.SetAddress(s.listener.Addr().String())
	large := make(chan error, 1)
	go func() {
		_, err := do(t, p, "large")
		large <- err
	}()
	for range 20 {
		_, err := do(t, p, "small")
		assert.NilError(t, err)
	}
	close(release)
	assert.NilError(t, <-large)
}

func TestAnAnswerThatNamesNoRequestEndsItsConnection(t *testing.T) {
	unnamed := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	check := func(_ int, h http.Header) pool.Match {
		if h.Get(idHeader) == "" {
			return pool.Unnamed
		}
		return pool.Own
	}
	send := func(t *testing.T, p *pool.Pool) error {
		t.Helper()
		r := request("a", false)
		r.Check = check
		_, err := p.Do(t.Context(), r)
		return err
	}
	t.Run("the first is taken", func(t *testing.T) {
		s := newServer(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
			_, err := conn.Write([]byte(unnamed))
			return err == nil
		})
		p := newPool(s)
		for range 3 {
			assert.NilError(t, send(t, p))
		}
		assert.Equal(t, s.connections.Load(), int64(3))
	})
	t.Run("a later one may be late", func(t *testing.T) {
		s := newServer(t, func(number int64, _ *http.Request, conn net.Conn) bool {
			text := completeAnswer("a", "ok")
			if number == 2 {
				text = unnamed
			}
			_, err := conn.Write([]byte(text))
			return err == nil
		})
		p := newPool(s)
		assert.NilError(t, send(t, p))
		assertVerdict(t, send(t, p), teaseltack.MayHaveRun)
		assert.NilError(t, send(t, p))
		assert.Equal(t, s.connections.Load(), int64(2))
	})
}

func TestTheAnswerToHeadHasTheLengthButNoBody(t *testing.T) {
	s := newServer(t, func(_ int64, r *http.Request, conn net.Conn) bool {
		_, err := conn.Write([]byte("HTTP/1.1 200 OK\r\n" + idHeader + ": " + r.Header.Get(idHeader) + "\r\nContent-Length: 9\r\n\r\n"))
		return err == nil
	})
	p := newPool(s)
	for range 2 {
		r := request("a", false)
		r.Method, r.Head = "HEAD", []byte("HEAD / HTTP/1.1\r\nHost: a\r\n"+idHeader+": a\r\n\r\n")
		response, err := p.Do(t.Context(), r)
		assert.NilError(t, err)
		assert.Equal(t, len(response.Body), 0)
		assert.Assert(t, response.Delimited)
	}
	assert.Equal(t, s.connections.Load(), int64(1))
}

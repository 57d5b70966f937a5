package side_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack/platform/fake"
)

// lines is a log that several daemons write.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// find returns the lines that hold all the words.
func (l *lines) find(words ...string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for line := range strings.SplitSeq(l.text.String(), "\n") {
		holds := true
		for _, word := range words {
			holds = holds && strings.Contains(line, word)
		}
		if holds && line != "" {
			found = append(found, line)
		}
	}
	return found
}

// assertExplained checks that the log leads from the request's id to the words,
// and prints what an engineer reads.
func assertExplained(t *testing.T, l *lines, id string, words ...string) {
	t.Helper()
	all := l.find("id=" + id + " ")
	for _, line := range all {
		t.Log(line)
	}
	assert.Assert(t, len(l.find(append(words, "id="+id+" ")...)) > 0, "no line of %s holds %v", id, words)
}

func TestFailedRequestsLeaveTheirCause(t *testing.T) {
	t.Run("refused in overload", func(t *testing.T) {
		log := &lines{}
		w := newWorld(t)
		w.log = log
		w.configure(write)
		h := w.add("till", fake.ServerConfig{Work: 400 * time.Millisecond})
		w.await("service", func() bool { return w.call(h, http.MethodPost, "/write/x", "").status == http.StatusOK })
		var calls sync.WaitGroup
		refused := make(chan string, 40)
		for range 40 {
			calls.Go(func() {
				if got := w.call(h, http.MethodPost, "/write/x", ""); got.status == http.StatusServiceUnavailable {
					refused <- got.id
				}
			})
		}
		calls.Wait()
		assertExplained(t, log, <-refused, "refused:", "part=home", "verdict=not-run", "reason=overload", "limit=")
	})
	t.Run("may have run after a lost answer", func(t *testing.T) {
		log := &lines{}
		w := newWorld(t)
		w.log = log
		w.configure(write)
		h := w.add("till", fake.ServerConfig{})
		w.await("service", func() bool { return w.call(h, http.MethodPost, "/write/x", "").status == http.StatusOK })
		h.server.SetAnswerFault(func(string) fake.AnswerFault { return fake.Lost })
		got := w.call(h, http.MethodPost, "/write/x", "")
		assert.Equal(t, got.status, http.StatusBadGateway)
		assertExplained(t, log, got.id, "broke:", "part=home", "reason=answer-cut", "verdict=may-have-run")
		assertExplained(t, log, got.id, "failed:", "part=entry", "home="+h.name)
	})
	t.Run("late through a slow server below", func(t *testing.T) {
		log := &lines{}
		w := newWorld(t)
		w.log = log
		w.configure(route{"/read/", "orders", "idempotent", 5}, route{"/inner/", "till", "idempotent", 5})
		var front *host
		front = w.add("orders", fake.ServerConfig{Nested: func(context.Context, time.Duration) error {
			if got := w.call(front, http.MethodGet, "/inner/x", ""); got.status != http.StatusOK {
				return fmt.Errorf("the inner call got %d", got.status)
			}
			return nil
		}})
		slow := w.add("till", fake.ServerConfig{Work: 1200 * time.Millisecond})
		w.await("service", func() bool { return w.serves(front, "/read/x") })
		got := w.call(front, http.MethodGet, "/read/x", "")
		assert.Equal(t, got.status, http.StatusOK)
		assertExplained(t, log, got.id, "late:", "part=entry", "home="+front.name)
		inner := log.find("late:", "part=entry", "at="+front.name, "target=till/", "home="+slow.name)
		assert.Assert(t, len(inner) > 0, "the host of the run names no slow call below")
		t.Log(inner[len(inner)-1])
	})
}

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

// logBuffer collects the log lines of several daemons.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// find returns the lines that contain all the words.
func (l *logBuffer) find(words ...string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for line := range strings.SplitSeq(l.text.String(), "\n") {
		matches := true
		for _, word := range words {
			matches = matches && strings.Contains(line, word)
		}
		if matches && line != "" {
			found = append(found, line)
		}
	}
	return found
}

// assertLogged checks that a line with the request's id contains the words, and
// prints all lines with the id.
func assertLogged(t *testing.T, l *logBuffer, id string, words ...string) {
	t.Helper()
	all := l.find("id=" + id + " ")
	for _, line := range all {
		t.Log(line)
	}
	assert.Assert(t, len(l.find(append(words, "id="+id+" ")...)) > 0, "no line of %s contains %v", id, words)
}

// TestFailedRequestsLeaveTheirCause guards against failures whose cause cannot be
// found in the log by the request's id.
func TestFailedRequestsLeaveTheirCause(t *testing.T) {
	t.Run("refused in overload", func(t *testing.T) {
		log := &logBuffer{}
		tb := newTestbed(t)
		tb.log = log
		tb.configure(write)
		h := tb.add("till", fake.ServerConfig{Work: 400 * time.Millisecond})
		tb.waitFor("service", func() bool { return tb.call(h, http.MethodPost, "/write/x", "").status == http.StatusOK })
		var calls sync.WaitGroup
		refused := make(chan string, 40)
		for range 40 {
			calls.Go(func() {
				if got := tb.call(h, http.MethodPost, "/write/x", ""); got.status == http.StatusServiceUnavailable {
					refused <- got.id
				}
			})
		}
		calls.Wait()
		assertLogged(t, log, <-refused, "refused:", "part=home", "verdict=not-run", "reason=overload", "limit=")
	})
	t.Run("may have run after a lost answer", func(t *testing.T) {
		log := &logBuffer{}
		tb := newTestbed(t)
		tb.log = log
		tb.configure(write)
		h := tb.add("till", fake.ServerConfig{})
		tb.waitFor("service", func() bool { return tb.call(h, http.MethodPost, "/write/x", "").status == http.StatusOK })
		h.server.SetAnswerFault(func(string) fake.AnswerFault { return fake.Lost })
		got := tb.call(h, http.MethodPost, "/write/x", "")
		assert.Equal(t, got.status, http.StatusBadGateway)
		assertLogged(t, log, got.id, "broke:", "part=home", "reason=answer-cut", "verdict=may-have-run")
		assertLogged(t, log, got.id, "failed:", "part=entry", "home="+h.name)
	})
	t.Run("late because of a slow nested call", func(t *testing.T) {
		log := &logBuffer{}
		tb := newTestbed(t)
		tb.log = log
		tb.configure(rule{"/read/", "orders", "idempotent", 5}, rule{"/inner/", "till", "idempotent", 5})
		var outer *host
		outer = tb.add("orders", fake.ServerConfig{Nested: func(context.Context, time.Duration) error {
			if got := tb.call(outer, http.MethodGet, "/inner/x", ""); got.status != http.StatusOK {
				return fmt.Errorf("the nested call got status %d", got.status)
			}
			return nil
		}})
		slowHost := tb.add("till", fake.ServerConfig{Work: 1200 * time.Millisecond})
		tb.waitFor("service", func() bool { return tb.serves(outer, "/read/x") })
		got := tb.call(outer, http.MethodGet, "/read/x", "")
		assert.Equal(t, got.status, http.StatusOK)
		assertLogged(t, log, got.id, "late:", "part=entry", "home="+outer.name)
		inner := log.find("late:", "part=entry", "at="+outer.name, "target=till/", "home="+slowHost.name)
		assert.Assert(t, len(inner) > 0, "the host that ran the call logged no late nested call")
		t.Log(inner[len(inner)-1])
	})
}

//go:build linux

package cuts_test

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"gotest.tools/v3/assert"
)

// The limits of the users' platform for a confirmed change to be in force at a host: with a
// sound store, while the store does not serve the host, and after a host that was cut off
// from everything is back in touch.
const (
	changeLimit   = 2 * time.Second
	awayLimit     = 7 * time.Second
	isolatedLimit = 3 * time.Second
	// settleTime is how long requests go on after the last change is due everywhere.
	settleTime = time.Second
)

// change is a change of the service that runs the writes.
type change struct {
	confirmed time.Time
	service   string
}

// request is a write.
type request struct {
	host       *host
	id         string
	sent, done time.Time
	// status is 0 without an answer.
	status int
}

// span is a time of trouble; to is zero while it lasts.
type span struct{ from, to time.Time }

func (w *world) begin(spans *[]span) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*spans = append(*spans, span{from: time.Now()})
}

func (w *world) end(spans *[]span) {
	w.mu.Lock()
	defer w.mu.Unlock()
	(*spans)[len(*spans)-1].to = time.Now()
}

// overlaps reports whether the span has a part between the two times.
func (s span) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
}

// due returns when a change must be in force at the host.
func (c change) due(h *host) time.Time {
	due := c.confirmed.Add(changeLimit)
	if slices.ContainsFunc(h.away, func(s span) bool { return s.overlaps(c.confirmed, due) }) {
		due = c.confirmed.Add(awayLimit)
	}
	for _, s := range h.isolated {
		if s.from.Before(due) {
			due = latest(due, s.to.Add(isolatedLimit))
		}
	}
	return due
}

// isIsolated reports whether the host is excused at the time.
func (h *host) isIsolated(at time.Time) bool {
	return slices.ContainsFunc(h.isolated, func(s span) bool { return at.After(s.from) && at.Before(s.to.Add(isolatedLimit)) })
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// settle waits until all changes have been due for settleTime.
func (w *world) settle() {
	w.mu.Lock()
	var end time.Time
	for _, c := range w.changes {
		for _, h := range w.hosts {
			end = latest(end, c.due(h))
		}
	}
	w.mu.Unlock()
	time.Sleep(time.Until(end) + settleTime)
}

// check checks that no service ran a write that was sent when only an older configuration
// named it. The times in which hosts were isolated must have ended.
func (w *world) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	ran := map[string][]string{}
	for _, h := range w.hosts {
		for id := range h.server.Runs() {
			ran[id] = append(ran[id], h.service)
		}
	}
	late := map[string]time.Duration{}
	judged, oldest := make([]int, len(w.changes)), make([]time.Duration, len(w.changes))
	for _, r := range w.requests {
		due := w.newestDue(r)
		for _, service := range ran[r.id] {
			judged[due]++
			m := w.firstWithout(service, r.done)
			if m == len(w.changes) {
				continue
			}
			age := r.sent.Sub(w.changes[m].confirmed)
			if !r.host.isIsolated(r.sent) {
				oldest[m] = max(oldest[m], age)
			}
			if m <= due {
				key := fmt.Sprintf("change %d at %s of %s, run by %s", m, r.host.name, r.host.centre, service)
				late[key] = max(late[key], age)
			}
		}
	}
	w.t.Logf("%d writes, %v judged by each change; the last one by an older service, at hosts not excused, sent %v after the change", len(w.requests), judged, oldest)
	if *withLogs {
		w.t.Log(w.logs())
	}
	assert.Check(w.t, judged[len(judged)-1] > 0, "no write was judged by the last change")
	assert.Check(w.t, len(late) == 0, "late: %v\n%s", late, w.logs())
}

// newestDue returns the newest change that was due at the host when the write was sent.
func (w *world) newestDue(r request) int {
	for i := len(w.changes) - 1; i > 0; i-- {
		if w.changes[i].due(r.host).Before(r.sent) {
			return i
		}
	}
	return 0
}

// firstWithout returns the first change since which no configuration that was confirmed
// by the time names the service; the number of changes if the newest one names it.
func (w *world) firstWithout(service string, by time.Time) int {
	named := false
	for i := len(w.changes) - 1; i >= 0; i-- {
		if w.changes[i].confirmed.After(by) {
			named = named || w.changes[i].service == service
			continue
		}
		if named || w.changes[i].service == service {
			return i + 1
		}
	}
	return 0
}

// logs returns the lines of all daemons that tell of configurations and the store.
func (w *world) logs() string {
	var lines strings.Builder
	for _, h := range w.hosts {
		text, _ := os.ReadFile(h.log)
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, "onfiguration ") || strings.Contains(line, "store ") {
				fmt.Fprintf(&lines, "%s %s: %s", h.name, h.centre, line)
			}
		}
	}
	return lines.String()
}

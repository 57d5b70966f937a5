package editor_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	operatorv1 "teaseltack/gen/teaseltack/operator/v1"

	"teaseltack"
	"teaseltack/core/editor"
	"teaseltack/core/policy"
	"teaseltack/io/clock"
)

// fault is what the platform does to one call.
type fault int

const (
	fine fault = iota
	down
	lostAfterWrite
)

// fakeStore is a key-value service that a test troubles call by call.
type fakeStore struct {
	mu     sync.Mutex
	values map[string]teaseltack.KVEntry
	last   uint64
	draw   func() fault
	// before runs once before the next swap, as another operator would.
	before func()
}

func newFakeStore() *fakeStore {
	return &fakeStore{values: map[string]teaseltack.KVEntry{}, draw: func() fault { return fine }}
}

var errDown = errors.New("no answer")

func (s *fakeStore) Get(_ context.Context, key string) (teaseltack.KVEntry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draw() == down {
		return teaseltack.KVEntry{}, errDown
	}
	return s.values[key], nil
}

func (s *fakeStore) Swap(_ context.Context, key string, value []byte, expected uint64, _ time.Duration) (teaseltack.KVEntry, error) {
	if other := s.before; other != nil && key == editor.DocumentKey {
		s.before = nil
		other()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.draw()
	if f == down {
		return teaseltack.KVEntry{}, errDown
	}
	if s.values[key].Revision != expected {
		return s.values[key], nil
	}
	s.last++
	s.values[key] = teaseltack.KVEntry{Value: value, Revision: s.last}
	if f == lostAfterWrite {
		return teaseltack.KVEntry{}, errDown
	}
	written := s.values[key]
	written.Swapped = true
	return written, nil
}

func (s *fakeStore) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (teaseltack.KVEntry, error) {
	return s.Get(ctx, key)
}

func newEditor(s *fakeStore) *editor.Editor {
	return editor.New(editor.Config{Timers: clock.Clock{}, Store: s, OnDocument: func(*operatorv1.Document) {}})
}

func stepFor(id, method string, lifetime int64) policy.Edit {
	return policy.Edit{ChangeID: id, Who: "test", Set: []*operatorv1.Policy{{Service: "s", Method: method, Class: "normal", LifetimeMs: lifetime}}}
}

func load(t assert.TestingT, c *editor.Editor) *operatorv1.Document {
	document, _, err := c.Load(context.Background())
	assert.NilError(t, err)
	return document
}

// Operators' histories are linear: every accepted change stands once, refused
// ones never, and generations count the accepted ones.
func TestHistoriesAreLinear(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newFakeStore()
		c := newEditor(s)
		faults := rapid.SliceOfN(rapid.SampledFrom([]fault{fine, fine, fine, down, lostAfterWrite}), 10, 40).Draw(r, "faults")
		next := 0
		s.draw = func() fault {
			next++
			return faults[next%len(faults)]
		}
		results := map[string]string{}
		ids := rapid.SliceOfN(rapid.IntRange(0, 6), 1, 20).Draw(r, "change ids, repeats included")
		for i, n := range ids {
			id := fmt.Sprintf("change-%d", n)
			if rapid.Bool().Draw(r, "another operator comes between") {
				s.before = func() {
					other := fmt.Sprintf("other-%d", i)
					results[other] = c.Apply(context.Background(), stepFor(other, "other", int64(i+1)), 0, false).Result
				}
			}
			result := c.Apply(context.Background(), stepFor(id, id, int64(n+1)), 0, false).Result
			// A refusal speaks of its own request; an earlier one with the same id
			// whose outcome is unknown may stand.
			if results[id] == "" || results[id] == "refused" || result == "accepted" {
				results[id] = result
			}
		}
		s.draw = func() fault { return fine }
		checkHistory(r, load(r, c), results)
	})
}

func checkHistory(r *rapid.T, document *operatorv1.Document, results map[string]string) {
	stands := map[string]int{}
	for i, entry := range document.Recent {
		stands[entry.ChangeId]++
		if entry.Generation != uint64(i+1) {
			r.Fatalf("entry %d has generation %d", i, entry.Generation)
		}
	}
	if document.Generation != uint64(len(document.Recent)) {
		r.Fatalf("generation %d after %d changes", document.Generation, len(document.Recent))
	}
	for id, result := range results {
		if stands[id] > 1 || result == "accepted" && stands[id] != 1 || result == "refused" && stands[id] != 0 {
			r.Fatalf("%s was told %s and stands %d times", id, result, stands[id])
		}
	}
}

func TestAnswerLostAfterTheWriteIsAccepted(t *testing.T) {
	s := newFakeStore()
	c := newEditor(s)
	calls := 0
	s.draw = func() fault {
		calls++
		if calls == 2 {
			return lostAfterWrite
		}
		return fine
	}
	outcome := c.Apply(context.Background(), stepFor("one", "m", 1), 0, false)
	assert.Equal(t, outcome.Result, "accepted")
	assert.Equal(t, load(t, c).Generation, uint64(1))
}

func TestUnreadableOutcomeIsUnknownAndSafeToRepeat(t *testing.T) {
	s := newFakeStore()
	c := newEditor(s)
	calls := 0
	s.draw = func() fault {
		calls++
		switch calls {
		case 1:
			return fine
		case 2:
			return lostAfterWrite
		}
		return down
	}
	assert.Equal(t, c.Apply(context.Background(), stepFor("one", "m", 1), 0, false).Result, "unknown")
	s.draw = func() fault { return fine }
	assert.Equal(t, c.Apply(context.Background(), stepFor("one", "m", 1), 0, false).Result, "accepted")
	assert.Equal(t, load(t, c).Generation, uint64(1))
}

func TestTwoOperators(t *testing.T) {
	for name, test := range map[string]struct {
		method string
		want   string
	}{
		"on the same policy the second is refused": {"m", "refused"},
		"on different policies both stand":         {"n", "accepted"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeStore()
			c := newEditor(s)
			c.Apply(context.Background(), stepFor("base", "m", 1), 0, false)
			s.before = func() { c.Apply(context.Background(), stepFor("first", "m", 2), 1, false) }
			outcome := c.Apply(context.Background(), stepFor("second", test.method, 3), 1, false)
			assert.Equal(t, outcome.Result, test.want, outcome.Detail)
		})
	}
}

func TestOldEntriesAreArchivedBeforeTheyAreCut(t *testing.T) {
	const changes = 200
	s := newFakeStore()
	c := newEditor(s)
	for i := range changes {
		outcome := c.Apply(context.Background(), stepFor(fmt.Sprintf("change-%d", i), "m", int64(i+1)), 0, false)
		assert.Equal(t, outcome.Result, "accepted", outcome.Detail)
	}
	document := load(t, c)
	assert.Assert(t, len(document.Recent) < 100)
	history, complete := c.History(context.Background(), document, 1000)
	assert.Assert(t, complete)
	assert.Equal(t, len(history), changes)
	for i, entry := range history {
		assert.Equal(t, entry.Generation, uint64(changes-i))
	}
	again := c.Apply(context.Background(), stepFor("change-100", "m", 101), 0, false)
	assert.Equal(t, again.Generation, uint64(101), "a repeat of an archived change was applied again")
}

func TestBadStepsNameFieldValueAndWhatIsAllowed(t *testing.T) {
	c := newEditor(newFakeStore())
	bad := policy.Edit{Set: []*operatorv1.Policy{{Service: "S", Method: "m", Class: "vip", LifetimeMs: -1, Retries: 99}}}
	outcome := c.Apply(context.Background(), bad, 0, false)
	assert.Equal(t, outcome.Result, "refused")
	for _, part := range []string{"change-id", "who", `service is "S"`, `class is "vip", allowed are low, normal, high, protected`, "lifetime-ms is -1, allowed is 1 to 600000", "retries is 99, allowed is 0 to 10"} {
		assert.Assert(t, strings.Contains(outcome.Detail, part), "%q is missing in:\n%s", part, outcome.Detail)
	}
}

func TestDryRunWritesNothing(t *testing.T) {
	s := newFakeStore()
	c := newEditor(s)
	outcome := c.Apply(context.Background(), stepFor("one", "m", 1), 0, true)
	assert.Equal(t, outcome.Result, "accepted")
	assert.Equal(t, len(s.values), 0)
}

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

// fakeStore is a key-value service with injected faults.
type fakeStore struct {
	mu        sync.Mutex
	values    map[string]teaseltack.KVEntry
	last      uint64
	nextFault func() fault
	// beforeSwap runs once, before the next swap of the document, to write as
	// another operator.
	beforeSwap func()
	// archiveDown makes all writes but those of the document fail.
	archiveDown bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{values: map[string]teaseltack.KVEntry{}, nextFault: func() fault { return fine }}
}

var errDown = errors.New("no answer")

func (s *fakeStore) Get(_ context.Context, key string) (teaseltack.KVEntry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextFault() == down {
		return teaseltack.KVEntry{}, errDown
	}
	return s.values[key], nil
}

func (s *fakeStore) Swap(_ context.Context, key string, value []byte, expected uint64, _ time.Duration) (teaseltack.KVEntry, error) {
	if other := s.beforeSwap; other != nil && key == editor.DocumentKey {
		s.beforeSwap = nil
		other()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.nextFault()
	if f == down || s.archiveDown && key != editor.DocumentKey {
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

func editFor(id, method string, lifetime int64) policy.Edit {
	return policy.Edit{ChangeID: id, Who: "test", Set: []*operatorv1.Policy{{Service: "s", Method: method, Class: "normal", LifetimeMs: lifetime}}}
}

func load(t assert.TestingT, e *editor.Editor) *operatorv1.Document {
	document, _, err := e.Load(context.Background())
	assert.NilError(t, err)
	return document
}

// Guards against an outcome without its cause, and against "unknown" for a change that
// wrote nothing.
func TestOutcomesOfFailedWritesNameTheirCause(t *testing.T) {
	t.Run("each swap is lost to another operator", func(t *testing.T) {
		s := newFakeStore()
		e := newEditor(s)
		other := newEditor(s)
		changes := 0
		var race func()
		race = func() {
			changes++
			outcome := other.Apply(t.Context(), editFor(fmt.Sprint("other-", changes), "other", int64(changes)), 0, false)
			assert.Equal(t, outcome.Result, "accepted")
			s.beforeSwap = race
		}
		s.beforeSwap = race
		outcome := e.Apply(t.Context(), editFor("own", "m", 1000), 0, false)
		assert.Equal(t, outcome.Result, "refused")
		assert.Assert(t, strings.Contains(outcome.Detail, "another operator changed the document"), outcome.Detail)
	})
	t.Run("the archive cannot be written", func(t *testing.T) {
		s := newFakeStore()
		e := newEditor(s)
		for i := range 64 {
			assert.Equal(t, e.Apply(t.Context(), editFor(fmt.Sprint(i), "m", int64(i+1)), 0, false).Result, "accepted")
		}
		s.archiveDown = true
		outcome := e.Apply(t.Context(), editFor("late", "m", 5000), 0, false)
		assert.Equal(t, outcome.Result, "refused")
		assert.Assert(t, strings.Contains(outcome.Detail, "writing config/archive/0: no answer"), outcome.Detail)
	})
}

// Guards against lost or doubled changes when answers of the platform are lost
// and another operator writes in between: every accepted change is in the audit
// trail once, a refused one never, and the generation counts the accepted ones.
func TestHistoriesAreLinear(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newFakeStore()
		e := newEditor(s)
		faults := rapid.SliceOfN(rapid.SampledFrom([]fault{fine, fine, fine, down, lostAfterWrite}), 10, 40).Draw(r, "faults")
		next := 0
		s.nextFault = func() fault {
			next++
			return faults[next%len(faults)]
		}
		results := map[string]string{}
		ids := rapid.SliceOfN(rapid.IntRange(0, 6), 1, 20).Draw(r, "change ids, repeats included")
		for i, n := range ids {
			id := fmt.Sprintf("change-%d", n)
			if rapid.Bool().Draw(r, "another operator writes in between") {
				s.beforeSwap = func() {
					other := fmt.Sprintf("other-%d", i)
					results[other] = e.Apply(context.Background(), editFor(other, "other", int64(i+1)), 0, false).Result
				}
			}
			result := e.Apply(context.Background(), editFor(id, id, int64(n+1)), 0, false).Result
			// A refusal is only about its own request. An earlier request with the
			// same id and an unknown outcome may have been applied.
			if results[id] == "" || results[id] == "refused" || result == "accepted" {
				results[id] = result
			}
		}
		s.nextFault = func() fault { return fine }
		checkHistory(r, load(r, e), results)
	})
}

func checkHistory(r *rapid.T, document *operatorv1.Document, results map[string]string) {
	entries := map[string]int{}
	for i, entry := range document.Recent {
		entries[entry.ChangeId]++
		if entry.Generation != uint64(i+1) {
			r.Fatalf("entry %d has generation %d", i, entry.Generation)
		}
	}
	if document.Generation != uint64(len(document.Recent)) {
		r.Fatalf("generation %d after %d changes", document.Generation, len(document.Recent))
	}
	for id, result := range results {
		if entries[id] > 1 || result == "accepted" && entries[id] != 1 || result == "refused" && entries[id] != 0 {
			r.Fatalf("%s got result %s and is in the audit trail %d times", id, result, entries[id])
		}
	}
}

// Guards against a second application of an edit, or the result unknown, when
// the platform's answer to the write is lost and the document can be read back.
func TestAnswerLostAfterTheWriteIsAccepted(t *testing.T) {
	s := newFakeStore()
	e := newEditor(s)
	calls := 0
	s.nextFault = func() fault {
		calls++
		if calls == 2 {
			return lostAfterWrite
		}
		return fine
	}
	outcome := e.Apply(context.Background(), editFor("one", "m", 1), 0, false)
	assert.Equal(t, outcome.Result, "accepted")
	assert.Equal(t, load(t, e).Generation, uint64(1))
}

// Guards against a false refusal when the answer to the write is lost and the
// platform is then down, and against a second application on the repeat.
func TestUnreadableOutcomeIsUnknownAndSafeToRepeat(t *testing.T) {
	s := newFakeStore()
	e := newEditor(s)
	calls := 0
	s.nextFault = func() fault {
		calls++
		switch calls {
		case 1:
			return fine
		case 2:
			return lostAfterWrite
		}
		return down
	}
	assert.Equal(t, e.Apply(context.Background(), editFor("one", "m", 1), 0, false).Result, "unknown")
	s.nextFault = func() fault { return fine }
	assert.Equal(t, e.Apply(context.Background(), editFor("one", "m", 1), 0, false).Result, "accepted")
	assert.Equal(t, load(t, e).Generation, uint64(1))
}

// Guards against an edit that overwrites the change of another operator that it
// was not based on.
func TestTwoOperators(t *testing.T) {
	for name, test := range map[string]struct {
		method string
		want   string
	}{
		"on the same policy the second is refused": {"m", "refused"},
		"on different policies both are accepted":  {"n", "accepted"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeStore()
			e := newEditor(s)
			e.Apply(context.Background(), editFor("base", "m", 1), 0, false)
			s.beforeSwap = func() { e.Apply(context.Background(), editFor("first", "m", 2), 1, false) }
			outcome := e.Apply(context.Background(), editFor("second", test.method, 3), 1, false)
			assert.Equal(t, outcome.Result, test.want, outcome.Detail)
		})
	}
}

// Guards against audit entries lost when the document is shortened, and against
// a repeat of an archived change being applied again.
func TestOldEntriesAreArchivedBeforeTheyAreCut(t *testing.T) {
	const changes = 200
	s := newFakeStore()
	e := newEditor(s)
	for i := range changes {
		outcome := e.Apply(context.Background(), editFor(fmt.Sprintf("change-%d", i), "m", int64(i+1)), 0, false)
		assert.Equal(t, outcome.Result, "accepted", outcome.Detail)
	}
	document := load(t, e)
	assert.Assert(t, len(document.Recent) < 100)
	history, complete := e.History(context.Background(), document, 1000)
	assert.Assert(t, complete)
	assert.Equal(t, len(history), changes)
	for i, entry := range history {
		assert.Equal(t, entry.Generation, uint64(changes-i))
	}
	again := e.Apply(context.Background(), editFor("change-100", "m", 101), 0, false)
	assert.Equal(t, again.Generation, uint64(101), "a repeat of an archived change was applied again")
}

// Guards against refusals from which an operator cannot see the field, its
// value and the allowed values.
func TestBadStepsNameFieldValueAndWhatIsAllowed(t *testing.T) {
	e := newEditor(newFakeStore())
	bad := policy.Edit{Set: []*operatorv1.Policy{{Service: "S", Method: "m", Class: "vip", LifetimeMs: -1, Retries: 99}}}
	outcome := e.Apply(context.Background(), bad, 0, false)
	assert.Equal(t, outcome.Result, "refused")
	for _, part := range []string{"change-id", "who", `service is "S"`, `class is "vip", allowed are low, normal, high, protected`, "lifetime-ms is -1, allowed is 1 to 600000", "retries is 99, allowed is 0 to 10"} {
		assert.Assert(t, strings.Contains(outcome.Detail, part), "%q is missing in:\n%s", part, outcome.Detail)
	}
}

func TestDryRunWritesNothing(t *testing.T) {
	s := newFakeStore()
	e := newEditor(s)
	outcome := e.Apply(context.Background(), editFor("one", "m", 1), 0, true)
	assert.Equal(t, outcome.Result, "accepted")
	assert.Equal(t, len(s.values), 0)
}

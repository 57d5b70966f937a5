package queue_test

import (
	"testing"

	"pgregory.net/rapid"

	"teaseltack"
	"teaseltack/core/queue"
)

// TestQueueAgainstAModel guards against a wrong order and against counts per bucket
// that no longer match the queued waiters. Random pushes, pops and removals are
// compared with a set of waiters.
func TestQueueAgainstAModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		q := &queue.Queue{}
		model := map[*teaseltack.Waiter]bool{}
		var all []*teaseltack.Waiter
		for range rapid.IntRange(1, 80).Draw(r, "steps") {
			switch rapid.IntRange(0, 4).Draw(r, "step") {
			case 0, 1:
				w := &teaseltack.Waiter{Priority: teaseltack.Priority{
					Class: teaseltack.Class(rapid.IntRange(0, 3).Draw(r, "class")), Rank: rapid.Uint32().Draw(r, "rank"),
					Nested: rapid.Bool().Draw(r, "nested"),
				}}
				q.Push(w)
				model[w] = true
				all = append(all, w)
			case 2:
				w := q.Pop()
				for other := range model {
					if w != nil && w.Priority.Less(other.Priority) {
						r.Fatalf("%v was popped before %v", w.Priority, other.Priority)
					}
				}
				delete(model, w)
			case 3:
				if len(all) > 0 {
					w := rapid.SampledFrom(all).Draw(r, "removed")
					if q.Remove(w) != model[w] {
						r.Fatalf("Remove reported another result than the model")
					}
					delete(model, w)
				}
			case 4:
				class := teaseltack.Class(rapid.IntRange(0, 3).Draw(r, "evicted class"))
				for _, w := range q.RemoveIf(func(w *teaseltack.Waiter) bool { return w.Priority.Class < class }) {
					delete(model, w)
				}
			}
			checkCounts(r, q, model)
		}
	})
}

func checkCounts(r *rapid.T, q *queue.Queue, model map[*teaseltack.Waiter]bool) {
	if q.Len() != len(model) {
		r.Fatalf("Len is %d, want %d", q.Len(), len(model))
	}
	p := teaseltack.Priority{Class: teaseltack.ClassNormal, Rank: 1 << 31}
	want := 0
	for w := range model {
		if w.Priority.Bucket() >= p.Bucket() {
			want++
		}
	}
	if got := q.Ahead(p); got != want {
		r.Fatalf("Ahead is %d, want %d", got, want)
	}
}

package quota_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"teaseltack"
	"teaseltack/core/quota"
)

// Guards against copied retries: those spent in a tree of quotas never exceed
// the root's, even if answers are lost or report unused retries.
func TestTokensAreConserved(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		start := teaseltack.Retries(rapid.IntRange(0, 10).Draw(r, "retries"))
		spent := teaseltack.Retries(0)
		visit(r, quota.New(start), 0, &spent)
		if spent > start {
			r.Fatalf("%d retries were spent of %d", spent, start)
		}
	})
}

func visit(r *rapid.T, q *quota.Quota, depth int, spent *teaseltack.Retries) {
	const maxDepth = 5
	for range rapid.IntRange(0, 4).Draw(r, "steps") {
		if rapid.Bool().Draw(r, "spend") {
			if q.Spend() {
				*spent++
			}
			continue
		}
		if depth == maxDepth {
			continue
		}
		taken := q.TakeHalf()
		if rapid.Bool().Draw(r, "all but one") {
			q.Return(taken, taken)
			taken = q.TakeAllBut(1)
		}
		child := quota.New(taken)
		visit(r, child, depth+1, spent)
		left := child.Close()
		switch rapid.IntRange(0, 2).Draw(r, "answer") {
		case 0:
			q.Return(left, left)
		case 1: // The answer is lost.
		case 2:
			q.Return(left, taken)
		}
	}
}

// Guards against retries of a call that has ended, after a late return of
// retries.
func TestClosedQuotaGivesNothing(t *testing.T) {
	q := quota.New(3)
	assert.Equal(t, q.Close(), teaseltack.Retries(3))
	q.Return(5, 5)
	assert.Assert(t, !q.Spend())
	assert.Equal(t, q.TakeHalf(), teaseltack.Retries(0))
}

// Guards against an answer that reports more unused retries than were sent.
func TestReturnIsBoundedByWhatWasTaken(t *testing.T) {
	q := quota.New(4)
	taken := q.TakeHalf()
	q.Return(1000, taken)
	assert.Equal(t, q.Left(), teaseltack.Retries(4))
}

func BenchmarkTakeAndReturn(b *testing.B) {
	q := quota.New(4)
	b.ReportAllocs()
	for b.Loop() {
		taken := q.TakeAllBut(1)
		q.Return(taken, taken)
	}
}

package quota_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"teaseltack"
	"teaseltack/core/quota"
)

// The tokens spent and left in a tree of quotas never exceed the root's, also
// when answers are lost, repeated or lie about what is left.
func TestTokensAreConserved(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		start := teaseltack.Tokens(rapid.IntRange(0, 10).Draw(r, "tokens"))
		spent := teaseltack.Tokens(0)
		visit(r, quota.New(start), 0, &spent)
		if spent > start {
			r.Fatalf("%d tokens were spent of %d", spent, start)
		}
	})
}

func visit(r *rapid.T, p *quota.Quota, depth int, spent *teaseltack.Tokens) {
	const deepest = 5
	for range rapid.IntRange(0, 4).Draw(r, "steps") {
		if rapid.Bool().Draw(r, "spend") {
			if p.Spend() {
				*spent++
			}
			continue
		}
		if depth == deepest {
			continue
		}
		taken := p.TakeHalf()
		if rapid.Bool().Draw(r, "all but one") {
			p.Return(taken, taken)
			taken = p.TakeAllBut(1)
		}
		child := quota.New(taken)
		visit(r, child, depth+1, spent)
		left := child.Close()
		switch rapid.IntRange(0, 2).Draw(r, "answer") {
		case 0:
			p.Return(left, left)
		case 1: // The answer is lost.
		case 2:
			p.Return(left, taken)
		}
	}
}

func TestClosedQuotaGivesNothing(t *testing.T) {
	p := quota.New(3)
	assert.Equal(t, p.Close(), teaseltack.Tokens(3))
	p.Return(5, 5)
	assert.Assert(t, !p.Spend())
	assert.Equal(t, p.TakeHalf(), teaseltack.Tokens(0))
}

func TestReturnIsBoundedByWhatWasTaken(t *testing.T) {
	p := quota.New(4)
	taken := p.TakeHalf()
	p.Return(1000, taken)
	assert.Equal(t, p.Left(), teaseltack.Tokens(4))
}

func BenchmarkTakeAndReturn(b *testing.B) {
	p := quota.New(4)
	b.ReportAllocs()
	for b.Loop() {
		taken := p.TakeAllBut(1)
		p.Return(taken, taken)
	}
}

// Package quota holds the retry tokens of one request at one hop. Tokens are
// moved between quotas and never copied, so the whole call tree of a root
// request spends at most the tokens that the root request started with.
package quota

import (
	"sync"

	"teaseltack"
)

// Quota holds retry tokens. It is safe for concurrent use.
type Quota struct {
	mu     sync.Mutex
	tokens teaseltack.Tokens
	closed bool
}

// New returns a quota with the given tokens; a negative number counts as zero.
func New(tokens teaseltack.Tokens) *Quota {
	return &Quota{tokens: max(tokens, 0)}
}

// Spend uses one token and reports whether there was one.
func (q *Quota) Spend() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || q.tokens == 0 {
		return false
	}
	q.tokens--
	return true
}

// TakeHalf removes half of the tokens, rounded up, and returns their number.
// The rest stays for other nested calls that run in parallel.
func (q *Quota) TakeHalf() teaseltack.Tokens {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return 0
	}
	taken := (q.tokens + 1) / 2
	q.tokens -= taken
	return taken
}

// TakeAllBut removes all tokens but the number to keep and returns the number
// removed.
func (q *Quota) TakeAllBut(kept teaseltack.Tokens) teaseltack.Tokens {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || q.tokens <= kept {
		return 0
	}
	taken := q.tokens - kept
	q.tokens = kept
	return taken
}

// Return puts back unused tokens of an earlier take. It adds at most the number
// taken, since another daemon's answer may report too many.
func (q *Quota) Return(unused, taken teaseltack.Tokens) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return
	}
	q.tokens += min(max(unused, 0), taken)
}

// Left returns the tokens left.
func (q *Quota) Left() teaseltack.Tokens {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tokens
}

// Close empties the quota permanently and returns the tokens that were left.
func (q *Quota) Close() teaseltack.Tokens {
	q.mu.Lock()
	defer q.mu.Unlock()
	left := q.tokens
	q.tokens = 0
	q.closed = true
	return left
}

// Package quota holds the retries of one request at one hop. Retries are
// moved between quotas and never copied, so the whole call tree of a root
// request spends at most the retries that the root request started with.
package quota

import (
	"sync"

	"teaseltack"
)

// Quota holds retries. It is safe for concurrent use.
type Quota struct {
	mu      sync.Mutex
	retries teaseltack.Retries
	closed  bool
}

// New returns a quota with the given retries; a negative number counts as zero.
func New(retries teaseltack.Retries) *Quota {
	return &Quota{retries: max(retries, 0)}
}

// Spend uses one retry and reports whether there was one.
func (q *Quota) Spend() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || q.retries == 0 {
		return false
	}
	q.retries--
	return true
}

// TakeHalf removes half of the retries, rounded up, and returns their number.
// The rest stays for other nested calls that run in parallel.
func (q *Quota) TakeHalf() teaseltack.Retries {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return 0
	}
	taken := (q.retries + 1) / 2
	q.retries -= taken
	return taken
}

// TakeAllBut removes all retries but the number to keep and returns the number
// removed.
func (q *Quota) TakeAllBut(kept teaseltack.Retries) teaseltack.Retries {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || q.retries <= kept {
		return 0
	}
	taken := q.retries - kept
	q.retries = kept
	return taken
}

// Return puts back unused retries of an earlier take. It adds at most the number
// taken, since another daemon's answer may report too many.
func (q *Quota) Return(unused, taken teaseltack.Retries) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return
	}
	q.retries += min(max(unused, 0), taken)
}

// Left returns the retries left.
func (q *Quota) Left() teaseltack.Retries {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.retries
}

// Close empties the quota permanently and returns the retries that were left.
func (q *Quota) Close() teaseltack.Retries {
	q.mu.Lock()
	defer q.mu.Unlock()
	left := q.retries
	q.retries = 0
	q.closed = true
	return left
}

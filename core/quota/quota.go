// Package quota holds the retry tokens of one request at one hop. Tokens are moved
// between quotas and never copied, so the whole call tree of a root request spends
// at most the tokens that the root request started with.
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

// New returns a quota of the tokens; a negative number counts as zero.
func New(tokens teaseltack.Tokens) *Quota {
	return &Quota{tokens: max(tokens, 0)}
}

// Spend uses up one token and reports whether there was one.
func (p *Quota) Spend() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.tokens == 0 {
		return false
	}
	p.tokens--
	return true
}

// TakeHalf moves half of the tokens out, rounded up, so that parallel nested
// calls share them.
func (p *Quota) TakeHalf() teaseltack.Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return 0
	}
	taken := (p.tokens + 1) / 2
	p.tokens -= taken
	return taken
}

// TakeAllBut moves all tokens out but the number kept back.
func (p *Quota) TakeAllBut(kept teaseltack.Tokens) teaseltack.Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.tokens <= kept {
		return 0
	}
	taken := p.tokens - kept
	p.tokens = kept
	return taken
}

// Return moves unused tokens of an earlier take back in. At most the taken
// number counts, whatever the answer claims.
func (p *Quota) Return(unused, taken teaseltack.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.tokens += min(max(unused, 0), taken)
}

// Left returns the tokens left.
func (p *Quota) Left() teaseltack.Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tokens
}

// Close empties the quota for good and returns the tokens that were left.
func (p *Quota) Close() teaseltack.Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := p.tokens
	p.tokens = 0
	p.closed = true
	return left
}

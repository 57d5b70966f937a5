// Package scope holds the context of each call that runs at the local backend
// server, so that nested calls inherit class, rank, lifetime and retries from
// the home and not from values that the server sends.
package scope

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"teaseltack"
	"teaseltack/core/quota"
)

// Scope is the context of one running call.
type Scope struct {
	Context  context.Context
	ID       teaseltack.RequestID
	Target   teaseltack.Target
	Priority teaseltack.Priority
	Deadline time.Time
	Quota    *quota.Quota
	// NestedFailed is set when a nested call was refused or got a 5xx answer.
	NestedFailed atomic.Bool
	// NestedWait is the total time that nested calls waited in queues, in
	// nanoseconds.
	NestedWait atomic.Int64
}

// Table holds the open scopes by context token. It is safe for concurrent use.
type Table struct {
	source teaseltack.RandSource
	mu     sync.Mutex
	scopes map[string]*Scope
	// called holds the time of the last nested call, by parent and nested
	// target.
	called map[teaseltack.Target]map[teaseltack.Target]time.Time
}

// Config configures a table.
type Config struct {
	Rand teaseltack.RandSource
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{
		source: cfg.Rand,
		scopes: map[string]*Scope{},
		called: map[teaseltack.Target]map[teaseltack.Target]time.Time{},
	}
}

// Open adds a scope and returns its context token, which is random so that it
// cannot be guessed.
func (t *Table) Open(s *Scope) string {
	token := strconv.FormatUint(t.source.Uint64(), 16) + strconv.FormatUint(t.source.Uint64(), 16)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.scopes[token] = s
	return token
}

// Close removes a scope and returns the retries that were left in it.
func (t *Table) Close(token string) teaseltack.Retries {
	t.mu.Lock()
	s := t.scopes[token]
	delete(t.scopes, token)
	t.mu.Unlock()
	if s == nil {
		return 0
	}
	return s.Quota.Close()
}

// Find returns the scope with the token, or nil.
func (t *Table) Find(token string) *Scope {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.scopes[token]
}

// RecordNested records that a call to the parent target made a nested call to
// the other target.
func (t *Table) RecordNested(parent, nested teaseltack.Target, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	targets := t.called[parent]
	if targets == nil {
		targets = map[teaseltack.Target]time.Time{}
		t.called[parent] = targets
	}
	targets[nested] = now
}

// NestedTargets returns the targets that calls to the parent target have called
// since the given time. It deletes older records.
func (t *Table) NestedTargets(parent teaseltack.Target, since time.Time) []teaseltack.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	var nested []teaseltack.Target
	for target, at := range t.called[parent] {
		if at.Before(since) {
			delete(t.called[parent], target)
			continue
		}
		nested = append(nested, target)
	}
	return nested
}

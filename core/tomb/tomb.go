// Package tomb keeps, in the platform's store, which lifetimes of a host's
// backend server have said that they leave, so that a daemon that starts anew
// does not take one back in on the word of a late heartbeat.
package tomb

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"teaseltack"
	"teaseltack/core/health"
)

const (
	// memory is how long a leaving is kept; heartbeats arrive seconds late.
	memory = time.Minute
	// most bounds the lifetimes that are kept of one host.
	most = 8
)

// Config sets up a record of leavings.
type Config struct {
	Store teaseltack.Store
	// Key is the key of the host.
	Key string
}

// Store writes and reads the leavings of one host. It is safe for concurrent
// use.
type Store struct {
	cfg      Config
	mu       sync.Mutex
	kept     []health.Tombstone
	revision uint64
}

// New returns a record that has read nothing yet.
func New(cfg Config) *Store {
	return &Store{cfg: cfg}
}

// Read returns the leavings that were kept before.
func (r *Store) Read(ctx context.Context) ([]health.Tombstone, error) {
	items, _, err := r.cfg.Store.Range(ctx, r.cfg.Key)
	if err != nil {
		return nil, fmt.Errorf("reading the leavings: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = 0
	var list []health.Tombstone
	for _, item := range items {
		if item.Key != r.cfg.Key {
			continue
		}
		r.revision = item.Revision
		if err := json.Unmarshal(item.Value, &list); err != nil {
			return nil, fmt.Errorf("reading the leavings at %s: %w", r.cfg.Key, err)
		}
	}
	for _, tombstone := range list {
		r.add(tombstone)
	}
	return list, nil
}

// add notes a leaving, the newest last.
func (r *Store) add(tombstone health.Tombstone) {
	for _, known := range r.kept {
		if known == tombstone {
			return
		}
	}
	r.kept = append(r.kept, tombstone)
	if len(r.kept) > most {
		r.kept = r.kept[1:]
	}
}

// Write keeps one more leaving.
func (r *Store) Write(ctx context.Context, tombstone health.Tombstone) error {
	err := r.write(ctx, tombstone)
	if !errors.Is(err, teaseltack.ErrConflict) {
		return err
	}
	if _, err := r.Read(ctx); err != nil {
		return err
	}
	return r.write(ctx, tombstone)
}

func (r *Store) write(ctx context.Context, tombstone health.Tombstone) error {
	r.mu.Lock()
	r.add(tombstone)
	value, err := json.Marshal(r.kept)
	revision := r.revision
	r.mu.Unlock()
	if err != nil {
		return fmt.Errorf("writing the leavings: %w", err)
	}
	lease, err := r.cfg.Store.Grant(ctx, memory)
	if err != nil {
		return fmt.Errorf("leasing the leavings: %w", err)
	}
	revision, err = r.cfg.Store.Put(ctx, r.cfg.Key, value, revision, lease)
	if err != nil {
		return fmt.Errorf("writing the leavings: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = revision
	return nil
}

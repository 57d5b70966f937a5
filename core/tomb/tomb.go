// Package tomb stores tombstones of deregistered backend servers in the platform's
// store, so that a restarted daemon does not register such a server again when a
// late heartbeat arrives.
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
	// memory is how long a tombstone is kept; heartbeats arrive seconds late.
	memory = time.Minute
	// most bounds the lifetimes that are kept of one host.
	most = 8
)

// Config configures a Store.
type Config struct {
	Store teaseltack.Store
	// Key is the key of the host.
	Key string
}

// Store reads and writes the tombstones of one host. It is safe for concurrent use.
type Store struct {
	cfg      Config
	mu       sync.Mutex
	kept     []health.Tombstone
	revision uint64
}

// New returns a store that has read nothing yet.
func New(cfg Config) *Store {
	return &Store{cfg: cfg}
}

// Read returns the stored tombstones.
func (r *Store) Read(ctx context.Context) ([]health.Tombstone, error) {
	items, _, err := r.cfg.Store.Range(ctx, r.cfg.Key)
	if err != nil {
		return nil, fmt.Errorf("reading the tombstones: %w", err)
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
			return nil, fmt.Errorf("reading the tombstones at %s: %w", r.cfg.Key, err)
		}
	}
	for _, tombstone := range list {
		r.add(tombstone)
	}
	return list, nil
}

// add adds a tombstone, the newest last.
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

// Write stores one more tombstone.
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
		return fmt.Errorf("writing the tombstones: %w", err)
	}
	lease, err := r.cfg.Store.Grant(ctx, memory)
	if err != nil {
		return fmt.Errorf("leasing the tombstones: %w", err)
	}
	revision, err = r.cfg.Store.Put(ctx, r.cfg.Key, value, revision, lease)
	if err != nil {
		return fmt.Errorf("writing the tombstones: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = revision
	return nil
}

// Package tomb stores tombstones of deregistered backend servers in the platform's
// store, so that a restarted daemon does not register such a server again when a
// late heartbeat arrives.
package tomb

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"teaseltack"
	"teaseltack/core/health"
)

const (
	// tombstoneTTL is how long tombstones are stored after the last write; a minute is
	// enough because heartbeats arrive only seconds late.
	tombstoneTTL = time.Minute
	// maxTombstones bounds the tombstones of one host; the oldest is dropped.
	maxTombstones = 8
)

// ErrUnreadable means that the stored value holds no tombstones, as after a write by
// another program. The next Write replaces it.
var ErrUnreadable = errors.New("the stored tombstones are unreadable")

// Config configures Tombstones.
type Config struct {
	Store teaseltack.Store
	// Key is the store key that holds the host's tombstones.
	Key string
}

// Tombstones reads and writes the tombstones of one host. It is safe for concurrent use.
type Tombstones struct {
	cfg        Config
	mu         sync.Mutex
	tombstones []health.Tombstone
	revision   teaseltack.Revision
	// added counts the calls of Write, stored those of them whose tombstones the store held
	// in storedEra, with all earlier ones. In a later era it may have lost them.
	added, stored int
	storedEra     teaseltack.StoreEra
}

// New returns the tombstones of one host, not read yet. Read need not be called
// before Write.
func New(cfg Config) *Tombstones {
	return &Tombstones{cfg: cfg}
}

// Read returns the stored tombstones and the era in which the store held them, and keeps
// them for later writes.
func (s *Tombstones) Read(ctx context.Context) ([]health.Tombstone, teaseltack.StoreEra, error) {
	items, at, err := s.cfg.Store.Range(ctx, s.cfg.Key)
	if err != nil {
		return nil, 0, fmt.Errorf("reading the tombstones at %s: %w", s.cfg.Key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = teaseltack.Revision{}
	var list []health.Tombstone
	for _, item := range items {
		if item.Key != s.cfg.Key {
			continue
		}
		s.revision = item.Revision
		if list, err = decode(item.Value); err != nil {
			return nil, 0, fmt.Errorf("decoding the tombstones at %s: %w: %w", s.cfg.Key, ErrUnreadable, err)
		}
	}
	for _, tombstone := range list {
		s.add(tombstone)
	}
	lost := func(known health.Tombstone) bool { return !slices.Contains(list, known) }
	if s.stored == s.added && !slices.ContainsFunc(s.tombstones, lost) {
		s.storedEra = at.Era
	}
	return list, at.Era, nil
}

// decode decodes the stored form and leaves out entries that are no tombstones. It fails
// if the value is no list, or has entries and none of them is a tombstone.
func decode(value []byte) ([]health.Tombstone, error) {
	var entries []json.RawMessage
	if err := json.Unmarshal(value, &entries); err != nil {
		return nil, err
	}
	var list []health.Tombstone
	var odd error
	for _, entry := range entries {
		var tombstone health.Tombstone
		if err := json.Unmarshal(entry, &tombstone); err != nil {
			odd = err
			continue
		}
		if tombstone.Instance != "" && tombstone.BornMs >= 0 {
			list = append(list, tombstone)
		}
	}
	if len(list) == 0 && odd != nil {
		return nil, odd
	}
	return list, nil
}

// add appends a tombstone unless it is known. s.mu must be held.
func (s *Tombstones) add(tombstone health.Tombstone) {
	for _, known := range s.tombstones {
		if known == tombstone {
			return
		}
	}
	s.tombstones = append(s.tombstones, tombstone)
	if len(s.tombstones) > maxTombstones {
		s.tombstones = s.tombstones[1:]
	}
}

// Write stores one more tombstone. After an error the tombstone is kept for Flush.
func (s *Tombstones) Write(ctx context.Context, tombstone health.Tombstone) error {
	s.mu.Lock()
	s.add(tombstone)
	s.added++
	s.mu.Unlock()
	return s.Flush(ctx)
}

// Stored reports whether the store holds all tombstones, as far as is known.
func (s *Tombstones) Stored() bool {
	era := s.cfg.Store.Era()
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tombstones) == 0 || s.stored == s.added && s.storedEra == era
}

// Flush stores the tombstones that the store does not hold, if any: those that an earlier
// Write could not store, and all in a new era. If another process has written the key, it
// reads the key and tries once more.
func (s *Tombstones) Flush(ctx context.Context) error {
	err := s.flush(ctx)
	if !errors.Is(err, teaseltack.ErrConflict) {
		return err
	}
	if _, _, err := s.Read(ctx); err != nil && !errors.Is(err, ErrUnreadable) {
		return err
	}
	return s.flush(ctx)
}

func (s *Tombstones) flush(ctx context.Context) error {
	if s.Stored() {
		return nil
	}
	s.mu.Lock()
	added, revision := s.added, s.revision
	value, err := json.Marshal(s.tombstones)
	s.mu.Unlock()
	if err != nil {
		return fmt.Errorf("encoding the tombstones: %w", err)
	}
	lease, err := s.cfg.Store.Grant(ctx, tombstoneTTL)
	if err != nil {
		return fmt.Errorf("granting a lease for the tombstones at %s: %w", s.cfg.Key, err)
	}
	revision, err = s.cfg.Store.Put(ctx, s.cfg.Key, value, revision, lease)
	if err != nil {
		return fmt.Errorf("writing the tombstones at %s: %w", s.cfg.Key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.stored, s.storedEra = revision, max(s.stored, added), revision.Era
	return nil
}

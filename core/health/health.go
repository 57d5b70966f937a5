// Package health derives the state of the local backend server from its
// heartbeats: which lifetime is the newest, whether it takes new work, and when its
// heartbeats have timed out. Late and repeated heartbeats change nothing, and a
// lifetime that was deregistered never becomes active again.
package health

import (
	"sync"
	"time"

	"teaseltack"
)

// Heartbeat is one heartbeat of the backend server.
type Heartbeat struct {
	Instance teaseltack.InstanceID
	Service  teaseltack.Service
	Address  string
	Slots    int
	Leaving  bool
	ColdLeft time.Duration
	Sequence int64
	BornMs   int64
}

// Server is the state of the backend server according to its heartbeats.
type Server struct {
	Instance teaseltack.InstanceID
	BornMs   int64
	Slots    int
	Serving  teaseltack.Serving
}

// Tombstone marks the lifetimes of an instance that were deregistered.
type Tombstone struct {
	Instance teaseltack.InstanceID `json:"instance"`
	// BornMs is the latest start time covered, as Unix milliseconds.
	BornMs int64 `json:"born-ms"`
}

// Config configures a Tracker.
type Config struct {
	// Timeout is the time without a heartbeat after which the server counts as
	// absent.
	Timeout time.Duration
}

// Tracker tracks the newest lifetime of the backend server. It is safe for concurrent use.
type Tracker struct {
	cfg        Config
	mu         sync.Mutex
	server     Server
	sequence   int64
	heardAt    time.Time
	tombstones map[teaseltack.InstanceID]int64
}

// New returns a tracker without a server.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, tombstones: map[teaseltack.InstanceID]int64{}}
}

// Change is what a heartbeat changed.
type Change uint8

// The changes.
const (
	// Unchanged means that the state is the same or that the heartbeat is old.
	Unchanged Change = iota
	// Updated means that the state or the slots changed.
	Updated
	// Started means that a new lifetime has begun.
	Started
)

// Observe applies a heartbeat and returns the server after it.
func (k *Tracker) Observe(b Heartbeat, now time.Time) (Server, Change) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if born, ok := k.tombstones[b.Instance]; ok && b.BornMs <= born {
		return k.server, Unchanged
	}
	s := &k.server
	same := b.Instance == s.Instance && b.BornMs == s.BornMs
	if s.Instance != "" && !same && b.BornMs < s.BornMs {
		return k.server, Unchanged
	}
	if same && b.Sequence <= k.sequence {
		return k.server, Unchanged
	}
	before := *s
	k.sequence = b.Sequence
	k.heardAt = now
	serving := teaseltack.Ready
	if b.Leaving || same && s.Serving == teaseltack.Leaving {
		serving = teaseltack.Leaving
	}
	*s = Server{Instance: b.Instance, BornMs: b.BornMs, Slots: b.Slots, Serving: serving}
	switch {
	case !same:
		return *s, Started
	case *s != before:
		return *s, Updated
	}
	return *s, Unchanged
}

// Leave marks an instance as deregistered. The tombstone returned has to be stored
// so that it survives a restart of the daemon.
func (k *Tracker) Leave(instance teaseltack.InstanceID, now time.Time) (Server, Tombstone) {
	k.mu.Lock()
	defer k.mu.Unlock()
	born := now.UnixMilli()
	if instance == k.server.Instance {
		born = k.server.BornMs
		k.server.Serving = teaseltack.Leaving
	}
	k.tombstones[instance] = max(k.tombstones[instance], born)
	return k.server, Tombstone{instance, k.tombstones[instance]}
}

// Restore applies the tombstones that an earlier process on this host stored, and
// reports whether the current server is thereby leaving.
func (k *Tracker) Restore(list []Tombstone) (Server, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, g := range list {
		k.tombstones[g.Instance] = max(k.tombstones[g.Instance], g.BornMs)
	}
	left := k.server.Serving == teaseltack.Ready && k.tombstones[k.server.Instance] >= k.server.BornMs && k.tombstones[k.server.Instance] > 0
	if left {
		k.server.Serving = teaseltack.Leaving
	}
	return k.server, left
}

// CheckTimeout marks the server as absent if its heartbeats have timed out, and
// reports whether it did.
func (k *Tracker) CheckTimeout(now time.Time) (Server, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.server.Serving != teaseltack.Ready || now.Sub(k.heardAt) < k.cfg.Timeout {
		return k.server, false
	}
	k.server.Serving = teaseltack.Absent
	return k.server, true
}

// Server returns the newest lifetime.
func (k *Tracker) Server() Server {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.server
}

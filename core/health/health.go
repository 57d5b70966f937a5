// Package health decides what the heartbeats of the local backend server say of
// it: which lifetime is the newest, whether it takes new work, and when it has
// gone silent. Late and repeated heartbeats change nothing, and a lifetime that
// said it leaves never comes back.
package health

import (
	"sync"
	"time"

	"teaseltack"
)

// Heartbeat is one heartbeat.
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

// Server is what the heartbeats say of the backend server.
type Server struct {
	Instance teaseltack.InstanceID
	BornMs   int64
	Slots    int
	Serving  teaseltack.Serving
}

// Tombstone is a lifetime that has said that it leaves for good.
type Tombstone struct {
	Instance teaseltack.InstanceID `json:"instance"`
	// BornMs is the latest start, as Unix milliseconds, that the word covers.
	BornMs int64 `json:"born-ms"`
}

// Config sets up a keeper.
type Config struct {
	// Timeout is the time without a heartbeat after which the server counts as
	// absent.
	Timeout time.Duration
}

// Tracker holds the newest lifetime. It is safe for concurrent use.
type Tracker struct {
	cfg      Config
	mu       sync.Mutex
	server   Server
	sequence int64
	heardAt  time.Time
	gone     map[teaseltack.InstanceID]int64
}

// New returns a keeper without a server.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, gone: map[teaseltack.InstanceID]int64{}}
}

// Change is what a heartbeat changed.
type Change uint8

// The changes.
const (
	// Unchanged says that the server is as it was, or the heartbeat is an old one.
	Unchanged Change = iota
	// Updated says that the state or the slots are others.
	Updated
	// Started says that a new lifetime has begun.
	Started
)

// Observe applies a heartbeat and returns the server after it.
func (k *Tracker) Observe(b Heartbeat, now time.Time) (Server, Change) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if born, ok := k.gone[b.Instance]; ok && b.BornMs <= born {
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

// Leave applies the word of a server that it leaves for good. It returns what is
// to be remembered beyond this process.
func (k *Tracker) Leave(instance teaseltack.InstanceID, now time.Time) (Server, Tombstone) {
	k.mu.Lock()
	defer k.mu.Unlock()
	born := now.UnixMilli()
	if instance == k.server.Instance {
		born = k.server.BornMs
		k.server.Serving = teaseltack.Leaving
	}
	k.gone[instance] = max(k.gone[instance], born)
	return k.server, Tombstone{instance, k.gone[instance]}
}

// Restore takes back what an earlier process of this host kept.
func (k *Tracker) Restore(list []Tombstone) (Server, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, g := range list {
		k.gone[g.Instance] = max(k.gone[g.Instance], g.BornMs)
	}
	left := k.server.Serving == teaseltack.Ready && k.gone[k.server.Instance] >= k.server.BornMs && k.gone[k.server.Instance] > 0
	if left {
		k.server.Serving = teaseltack.Leaving
	}
	return k.server, left
}

// CheckTimeout reports that the server went silent just now, and marks it absent.
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

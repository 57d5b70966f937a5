// Package health derives the state of the local backend server from its
// heartbeats: which server process is the newest, whether it accepts new calls, and
// whether its heartbeats have timed out. Late and repeated heartbeats change
// nothing, and a process that was deregistered never becomes ready again. It is part
// of the sidecar on the users' platform.
package health

import (
	"sync"
	"time"

	"teaseltack"
)

// Heartbeat is one heartbeat of the backend server. BornMs is the start time of the
// server process as Unix milliseconds; Sequence rises while the process runs.
// ColdLeft is the time for which the server is still slow after its start; it is not
// used.
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

// Server is the state of the newest process of the backend server.
type Server struct {
	Instance teaseltack.InstanceID
	BornMs   int64
	Slots    int
	Serving  teaseltack.Serving
}

// Tombstone records which processes of an instance were deregistered.
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

// Tracker tracks the newest process of the backend server. It is safe for concurrent use.
type Tracker struct {
	cfg           Config
	mu            sync.Mutex
	server        Server
	sequence      int64
	lastHeartbeat time.Time
	tombstones    map[teaseltack.InstanceID]int64
}

// New returns a tracker without a server.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, tombstones: map[teaseltack.InstanceID]int64{}}
}

// Change is the effect of a heartbeat on the state.
type Change uint8

// The changes.
const (
	// Unchanged means that the state is the same or that the heartbeat is old.
	Unchanged Change = iota
	// Updated means that the state or the slots changed.
	Updated
	// Started means that a new process has started.
	Started
)

// Observe applies a heartbeat and returns the server after it.
func (t *Tracker) Observe(heartbeat Heartbeat, now time.Time) (Server, Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if born, ok := t.tombstones[heartbeat.Instance]; ok && heartbeat.BornMs <= born {
		return t.server, Unchanged
	}
	s := &t.server
	same := heartbeat.Instance == s.Instance && heartbeat.BornMs == s.BornMs
	if s.Instance != "" && !same && heartbeat.BornMs < s.BornMs {
		return t.server, Unchanged
	}
	if same && heartbeat.Sequence <= t.sequence {
		return t.server, Unchanged
	}
	before := *s
	t.sequence = heartbeat.Sequence
	t.lastHeartbeat = now
	serving := teaseltack.Ready
	if heartbeat.Leaving || same && s.Serving == teaseltack.Leaving {
		serving = teaseltack.Leaving
	}
	*s = Server{Instance: heartbeat.Instance, BornMs: heartbeat.BornMs, Slots: heartbeat.Slots, Serving: serving}
	switch {
	case !same:
		return *s, Started
	case *s != before:
		return *s, Updated
	}
	return *s, Unchanged
}

// Leave marks an instance as deregistered. Store the returned tombstone, so that it
// survives a restart of the daemon. The start time of an instance that is not the
// newest is unknown here, so its tombstone covers every process started up to now.
func (t *Tracker) Leave(instance teaseltack.InstanceID, now time.Time) (Server, Tombstone) {
	t.mu.Lock()
	defer t.mu.Unlock()
	born := now.UnixMilli()
	if instance == t.server.Instance {
		born = t.server.BornMs
		t.server.Serving = teaseltack.Leaving
	}
	t.tombstones[instance] = max(t.tombstones[instance], born)
	return t.server, Tombstone{instance, t.tombstones[instance]}
}

// Restore applies the tombstones that an earlier daemon on this host stored, and
// reports whether they changed the current server from ready to leaving.
func (t *Tracker) Restore(list []Tombstone) (Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, tombstone := range list {
		t.tombstones[tombstone.Instance] = max(t.tombstones[tombstone.Instance], tombstone.BornMs)
	}
	leaving := t.server.Serving == teaseltack.Ready && t.tombstones[t.server.Instance] >= t.server.BornMs && t.tombstones[t.server.Instance] > 0
	if leaving {
		t.server.Serving = teaseltack.Leaving
	}
	return t.server, leaving
}

// CheckTimeout marks a ready server as absent if its heartbeats have timed out, and
// reports whether it did.
func (t *Tracker) CheckTimeout(now time.Time) (Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.server.Serving != teaseltack.Ready || now.Sub(t.lastHeartbeat) < t.cfg.Timeout {
		return t.server, false
	}
	t.server.Serving = teaseltack.Absent
	return t.server, true
}

// Server returns the state of the newest process.
func (t *Tracker) Server() Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.server
}

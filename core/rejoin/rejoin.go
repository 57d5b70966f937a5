// Package rejoin decides whether the backend server beside a daemon that has just started
// may get work. The server may have been deregistered at an earlier process of the daemon,
// and a heartbeat that arrives late does not show it. The tombstones in the store show it;
// while they cannot be read, only the server's own word that it stays counts. This keeps
// servers that left out, and lets a data centre that is cut off from the store serve.
package rejoin

import (
	"sync"
	"time"

	"teaseltack"
	"teaseltack/core/health"
)

// Config configures a Guard.
type Config struct {
	Timers teaseltack.Timers
	// AskAfter is the time for which the store may answer before the server is asked.
	AskAfter time.Duration
}

// Guard holds what a daemon knows since its start about an earlier leaving of its backend
// server. It is safe for concurrent use.
type Guard struct {
	cfg     Config
	started time.Time
	mu      sync.Mutex
	// restored is set when the tombstones have been read.
	restored bool
	// stays is the last process that said that it stays.
	stays process
}

// process identifies one process of a backend server.
type process struct {
	instance teaseltack.InstanceID
	bornMs   int64
}

func processOf(server health.Server) process {
	return process{server.Instance, server.BornMs}
}

// New returns a guard that knows nothing and admits no server.
func New(cfg Config) *Guard {
	return &Guard{cfg: cfg, started: cfg.Timers.Now()}
}

// SetRestored records that the tombstones have been read. Servers that left are known
// from then on.
func (g *Guard) SetRestored() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.restored = true
}

// Confirm records that the server said itself that it stays.
func (g *Guard) Confirm(server health.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stays = processOf(server)
}

// Admits reports whether the server may get work, unless it is known to have left.
func (g *Guard) Admits(server health.Server) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.restored || g.stays == processOf(server)
}

// ShouldAsk reports whether the server is to be asked whether it stays.
func (g *Guard) ShouldAsk(server health.Server) bool {
	if server.Serving != teaseltack.Ready || g.Admits(server) {
		return false
	}
	return g.cfg.Timers.Now().Sub(g.started) >= g.cfg.AskAfter
}

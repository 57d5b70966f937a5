// Package rejoin decides whether the backend server beside a daemon that has just started
// may get work. The server may have been deregistered at an earlier process of the daemon,
// and a heartbeat that arrives late does not show it. The tombstones in the store show it,
// unless the store has lost some; while they cannot be read or may be incomplete, only the
// server's own word that it stays counts. This keeps servers that left out, and lets a data
// centre that is cut off from the store serve.
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
	// ForgetAfter is the time after the start from which no heartbeat arrives that was sent
	// before the start, so that any server may get work; 0 stands for never.
	ForgetAfter time.Duration
}

// Guard holds what a daemon knows since its start about an earlier leaving of its backend
// server. It is safe for concurrent use.
type Guard struct {
	cfg     Config
	started time.Time
	mu      sync.Mutex
	// read is set when the tombstones have been read, predecessor when it is known what the
	// daemon's earlier process left.
	read        *reading
	predecessor *predecessor
	// stays is the last process that said that it stays.
	stays process
}

// process identifies one process of a backend server.
type process struct {
	instance teaseltack.InstanceID
	bornMs   int64
}

// reading is a read of the tombstones.
type reading struct {
	era teaseltack.StoreEra
	// late is set if the store did not answer soon after the start. The earlier process may
	// then have confirmed a leaving that it could not store.
	late bool
}

// predecessor is what the store says of the daemon's earlier process.
type predecessor struct {
	// complete is set if the store held all tombstones in the era.
	complete bool
	era      teaseltack.StoreEra
}

func processOf(server health.Server) process {
	return process{server.Instance, server.BornMs}
}

// New returns a guard that knows nothing and admits no server.
func New(cfg Config) *Guard {
	return &Guard{cfg: cfg, started: cfg.Timers.Now()}
}

// SetRead records that the tombstones were read in the era.
func (g *Guard) SetRead(era teaseltack.StoreEra) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.read = &reading{era: era, late: g.cfg.Timers.Now().Sub(g.started) >= g.cfg.AskAfter}
}

// SetPredecessor records what the record that an earlier process of the daemon left says:
// whether it knew all tombstones to be stored, and in which era.
func (g *Guard) SetPredecessor(complete bool, era teaseltack.StoreEra) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.predecessor = &predecessor{complete, era}
}

// SetNoPredecessor records that the store held no record of an earlier process in the era.
// Such a process has stopped as planned, and its tombstones were stored, or it ended so long
// ago that its record has expired.
func (g *Guard) SetNoPredecessor(era teaseltack.StoreEra) {
	g.SetPredecessor(true, era)
}

// restored reports whether the tombstones were read in the era in which the earlier process
// knew all of them to be stored. In a later era the store may have lost some before that
// process could store them again. The caller holds g.mu.
func (g *Guard) restored() bool {
	if g.read == nil || g.predecessor == nil || g.read.late {
		return false
	}
	return g.predecessor.complete && g.predecessor.era == g.read.era
}

// Settled reports whether all leavings are known that a heartbeat from before the start
// could undo, so that every other server may get work.
func (g *Guard) Settled() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.settled()
}

// settled is Settled for callers that hold g.mu.
func (g *Guard) settled() bool {
	return g.restored() || g.cfg.ForgetAfter > 0 && g.cfg.Timers.Now().Sub(g.started) >= g.cfg.ForgetAfter
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
	return g.settled() || g.stays == processOf(server)
}

// ShouldAsk reports whether the server is to be asked whether it stays.
func (g *Guard) ShouldAsk(server health.Server) bool {
	if server.Serving != teaseltack.Ready || g.Admits(server) {
		return false
	}
	return g.cfg.Timers.Now().Sub(g.started) >= g.cfg.AskAfter
}

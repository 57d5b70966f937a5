package side

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"teaseltack"
	"teaseltack/core/health"
	"teaseltack/core/tomb"
	"teaseltack/platform"
)

// server dispatches the home's calls to the local backend server.
type server struct {
	side *Sidecar
}

var _ teaseltack.ServerClient = (*server)(nil)

// Dispatch sends the call to the newest process of the backend server.
func (srv *server) Dispatch(ctx context.Context, call *teaseltack.Call, _ string) (*teaseltack.Answer, error) {
	s := srv.side
	instance := s.tracker.Server().Instance
	remaining := call.Deadline.Sub(s.timers.Now())
	response, err := s.pool.Do(ctx, platform.ServerRequest(call, instance, remaining))
	if err != nil {
		return nil, err
	}
	return platform.ServerAnswer(response)
}

// maxClockStep is how far the time of day may have jumped back since a server started. A
// later start is refused, since it would make the server's own heartbeats old ones.
const maxClockStep = time.Minute

// Heartbeat applies a heartbeat of the local backend server.
func (s *Sidecar) Heartbeat(heartbeat health.Heartbeat) error {
	if heartbeat.Service != s.service() {
		return fmt.Errorf("service in the heartbeat of %s is %q, allowed by the daemon's settings is %q", heartbeat.Instance, heartbeat.Service, s.service())
	}
	if heartbeat.Address != s.settings.ServerAddress {
		return fmt.Errorf("address in the heartbeat of %s is %q, allowed by the daemon's settings is %q", heartbeat.Instance, heartbeat.Address, s.settings.ServerAddress)
	}
	now := s.timers.Now()
	if latest := now.Add(maxClockStep).UnixMilli(); heartbeat.BornMs > latest {
		return fmt.Errorf("born in the heartbeat of %s is %d, allowed is up to %d", heartbeat.Instance, heartbeat.BornMs, latest)
	}
	server, change := s.tracker.Observe(heartbeat, now)
	if change == health.Unchanged {
		return nil
	}
	if change == health.Started {
		s.pool.Reset()
	}
	s.pool.SetAddress(s.settings.ServerAddress)
	s.resize(change == health.Started)
	s.applyServing()
	if server.Serving == teaseltack.Leaving {
		s.writeTombstone(health.Tombstone{Instance: server.Instance, BornMs: server.BornMs})
	}
	s.log.Info("server announced", "instance", server.Instance, "born-ms", server.BornMs, "slots", server.Slots, "serving", server.Serving)
	return nil
}

// Leave applies the deregistration of a backend server.
func (s *Sidecar) Leave(instance teaseltack.InstanceID) error {
	_, tombstone := s.tracker.Leave(instance, s.timers.Now())
	s.applyServing()
	s.writeTombstone(tombstone)
	s.log.Info("server leaves", "instance", tombstone.Instance, "born-ms", tombstone.BornMs)
	return nil
}

const (
	// tombstoneWriteTimeout bounds the time that the response to a deregistration waits
	// for the store. The home refuses new calls before the wait.
	tombstoneWriteTimeout = 600 * time.Millisecond
	// tombstoneFlushTimeout bounds a later attempt, which nothing waits for: four calls
	// to a store that takes 0.7 s for each.
	tombstoneFlushTimeout = 3 * time.Second
)

// writeTombstone stores the tombstone for the next process of this daemon. If this
// fails, keepTombstones tries again.
func (s *Sidecar) writeTombstone(tombstone health.Tombstone) {
	ctx, cancel := context.WithTimeout(context.Background(), tombstoneWriteTimeout)
	defer cancel()
	err := s.tombstones.Write(ctx, tombstone)
	if err == nil {
		return
	}
	s.log.Warn("tombstone not stored, retrying; if the daemon is restarted before, a late heartbeat may register the server again", "instance", tombstone.Instance, "error", err)
	s.storeTombstones()
}

// storeTombstones makes keepTombstones store the tombstones that the store does not hold.
func (s *Sidecar) storeTombstones() {
	select {
	case s.tombstonesUnstored <- struct{}{}:
	default:
	}
}

// keepTombstones stores the tombstones that writeTombstone could not store, or that the
// store has lost in a return from an older copy, until ctx ends. Failures are not logged;
// a store that stays away is logged by the other calls to it.
func (s *Sidecar) keepTombstones(ctx context.Context) {
	for {
		select {
		case <-s.tombstonesUnstored:
		case <-ctx.Done():
			return
		}
		for s.flushTombstones(ctx) != nil && ctx.Err() == nil {
			time.Sleep(tombstoneRetryDelay)
		}
	}
}

func (s *Sidecar) flushTombstones(ctx context.Context) error {
	if s.tombstones.Stored() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, tombstoneFlushTimeout)
	defer cancel()
	if err := s.tombstones.Flush(ctx); err != nil {
		return err
	}
	s.applyServing()
	s.log.Info("tombstones stored")
	return nil
}

const (
	// askAfter is the time for which the store may return the tombstones before a
	// restarted daemon asks its server. The server gets no work before its first
	// heartbeat either, which takes about as long.
	askAfter = 1500 * time.Millisecond
	// forgetAfter is the time after the start for which the server of an earlier process
	// may be kept out; tombstones are stored as long.
	forgetAfter = time.Minute
	// askPeriod is the period of asking the server, and the longest wait for its answer.
	askPeriod = 500 * time.Millisecond
	// tombstoneReadTimeout bounds one read of the tombstones: a lost response never
	// arrives, and a slow store responds within a third of this.
	tombstoneReadTimeout = time.Second
	// tombstoneRetryDelay is the delay after a failed read or a late write of the
	// tombstones.
	tombstoneRetryDelay = 500 * time.Millisecond
)

// restoreTombstones reads the tombstones that an earlier process of this daemon stored,
// and retries until ctx ends. Until all are known, or too old to matter, it asks the server
// whether it stays.
func (s *Sidecar) restoreTombstones(ctx context.Context) {
	stop := s.timers.Every(askPeriod, func() { s.askServer(ctx) })
	defer stop()
	for ctx.Err() == nil && !s.readTombstones(ctx) {
		time.Sleep(tombstoneRetryDelay)
	}
	time.Sleep(askPeriod)
	if !s.rejoin.Settled() {
		s.log.Warn("tombstones may be incomplete; the server gets work only if its status check passes", "for", forgetAfter)
	}
	for ctx.Err() == nil && !s.rejoin.Settled() {
		time.Sleep(askPeriod)
	}
	if ctx.Err() == nil {
		s.applyServing()
	}
}

// readTombstones reads the tombstones and reports whether there is no use in reading them
// again.
func (s *Sidecar) readTombstones(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, tombstoneReadTimeout)
	defer cancel()
	list, era, err := s.tombstones.Read(ctx)
	if errors.Is(err, tomb.ErrUnreadable) {
		s.log.Error("tombstones unreadable", "error", err)
		return true
	}
	if err != nil {
		s.log.Warn("tombstones not read, retrying", "error", err)
		return false
	}
	s.tracker.Restore(list)
	s.rejoin.SetRead(era)
	s.applyServing()
	return true
}

// askServer makes a status check of the local backend server if only its own word can
// show that it has not left.
func (s *Sidecar) askServer(ctx context.Context) {
	server := s.tracker.Server()
	table := s.follower.Table()
	if table == nil || !s.rejoin.ShouldAsk(server) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askPeriod)
	defer cancel()
	response, err := s.pool.Do(ctx, platform.StatusCheck(server.Instance, s.settings.ServerAddress, table.Config().Upstreams[s.service()].HealthPath))
	if err != nil || response.Status != http.StatusOK {
		s.log.Warn("server not confirmed while the tombstones are not known, it gets no work", "instance", server.Instance, "error", err)
		return
	}
	s.log.Info("server confirmed by its status check while the tombstones are not known", "instance", server.Instance)
	s.rejoin.Confirm(server)
	s.applyServing()
}

// applyServing sets the server's state in the home first and then publishes it to
// the other hosts. It reads the state under the lock, so that the later of two
// concurrent calls applies the newer state.
func (s *Sidecar) applyServing() {
	s.servingMu.Lock()
	defer s.servingMu.Unlock()
	server := s.tracker.Server()
	serving := server.Serving
	if serving == teaseltack.Ready && !s.rejoin.Admits(server) {
		serving = teaseltack.Absent
	}
	s.home.SetServing(s.service(), s.acceptedAs(serving))
	s.roster.Update(func(r *teaseltack.Record) {
		r.Serving = serving
		r.Slots = server.Slots
		if s.rejoin.Settled() && s.tombstones.Stored() {
			r.TombstonesUnknown, r.TombstonesEra = false, s.eras.Current()
		}
		if s.stopping.Load() {
			r.State = teaseltack.Left
		}
	})
}

// acceptedAs returns the state in which the home treats the calls that arrive. A
// stopping daemon accepts calls until it closes: the other daemons prefer homes that do
// not stop, and two homes of a small service may stop together.
func (s *Sidecar) acceptedAs(serving teaseltack.Serving) teaseltack.Serving {
	if s.closing.Load() && serving == teaseltack.Ready {
		return teaseltack.Leaving
	}
	return serving
}

func (s *Sidecar) resize(cold bool) {
	s.resizing.Lock()
	defer s.resizing.Unlock()
	server := s.tracker.Server()
	if server.Slots == 0 {
		return
	}
	connections := server.Slots
	if table := s.follower.Table(); table != nil {
		if upstream := table.Config().Upstreams[s.service()]; upstream.Connections > 0 {
			connections = min(connections, upstream.Connections)
		}
	}
	s.gate.Resize(server.Slots, connections, cold)
}

func (s *Sidecar) checkHeartbeats() {
	server, timedOut := s.tracker.CheckTimeout(s.timers.Now())
	if !timedOut {
		return
	}
	s.log.Warn("server silent", "instance", server.Instance)
	s.applyServing()
}

// answeredByStore reports whether err is one of the store's documented answers. Any
// other error, also an unexpected status, counts as an unreachable store.
func answeredByStore(err error) bool {
	return errors.Is(err, teaseltack.ErrCompacted) || errors.Is(err, teaseltack.ErrLeaseEnded) || errors.Is(err, teaseltack.ErrConflict)
}

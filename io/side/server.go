package side

import (
	"context"
	"errors"
	"fmt"
	"time"

	"teaseltack"
	"teaseltack/core/health"
	"teaseltack/platform"
)

// server is the local backend server as the home dispatches to it.
type server struct {
	side *Sidecar
}

var _ teaseltack.Server = (*server)(nil)

// Dispatch sends the call to the backend server's newest lifetime.
func (b *server) Dispatch(ctx context.Context, call *teaseltack.Call, _ string) (*teaseltack.Answer, error) {
	s := b.side
	instance := s.tracker.Server().Instance
	left := call.Deadline.Sub(s.timers.Now())
	response, err := s.pool.Do(ctx, platform.ServerRequest(call, instance, left))
	if err != nil {
		return nil, err
	}
	return platform.ServerAnswer(response)
}

// Heartbeat handles a heartbeat of the local backend server.
func (s *Sidecar) Heartbeat(b health.Heartbeat) error {
	if b.Service != s.service() {
		return fmt.Errorf("service is %q, allowed is %q", b.Service, s.service())
	}
	if b.Address != s.settings.ServerAddress {
		return fmt.Errorf("address is %q, allowed is %q", b.Address, s.settings.ServerAddress)
	}
	server, change := s.tracker.Observe(b, s.timers.Now())
	if change == health.Unchanged {
		return nil
	}
	if change == health.Started {
		s.pool.Reset()
	}
	s.pool.SetAddress(s.settings.ServerAddress)
	s.resize(server, change == health.Started)
	s.applyServing()
	if server.Serving == teaseltack.Leaving {
		s.keepLeaving(health.Tombstone{Instance: server.Instance, BornMs: server.BornMs})
	}
	s.log.Info("server announced", "instance", server.Instance, "born-ms", server.BornMs, "slots", server.Slots, "serving", server.Serving)
	return nil
}

// Leave handles the deregistration of a backend server.
func (s *Sidecar) Leave(instance teaseltack.InstanceID) error {
	_, tombstone := s.tracker.Leave(instance, s.timers.Now())
	s.applyServing()
	s.keepLeaving(tombstone)
	s.log.Info("server leaves", "instance", tombstone.Instance, "born-ms", tombstone.BornMs)
	return nil
}

// leavingTime bounds the time that a confirmation waits for the store. The home
// itself is bound before it.
const leavingTime = 600 * time.Millisecond

// keepLeaving writes a leaving down for the next life of this daemon.
func (s *Sidecar) keepLeaving(tombstone health.Tombstone) {
	ctx, cancel := context.WithTimeout(context.Background(), leavingTime)
	defer cancel()
	if err := s.tombstones.Write(ctx, tombstone); err != nil {
		s.log.Warn("leaving not written", "instance", tombstone.Instance, "error", err)
	}
}

// recallTime bounds the time after the start in which the server gets no work
// because the store has not told whether it left in an earlier life of this
// daemon; a heartbeat takes about as long.
const recallTime = 1500 * time.Millisecond

// recallLeavings reads what an earlier life of this daemon confirmed.
func (s *Sidecar) recallLeavings(ctx context.Context) {
	const pause = 500 * time.Millisecond
	stop := s.timers.After(recallTime, s.recalledNow)
	defer stop()
	for ctx.Err() == nil {
		list, err := s.tombstones.Read(ctx)
		if err == nil {
			s.tracker.Restore(list)
			s.recalledNow()
			return
		}
		s.log.Warn("reading the tombstones failed", "error", err)
		time.Sleep(pause)
	}
}

// recalledNow lets the server get work, unless it has left.
func (s *Sidecar) recalledNow() {
	s.recalled.Store(true)
	s.applyServing()
}

// applyServing binds the home first and then tells the other hosts. It reads the
// state itself, so that of two at once the later one applies the newer state.
func (s *Sidecar) applyServing() {
	s.serving.Lock()
	defer s.serving.Unlock()
	server := s.tracker.Server()
	serving := server.Serving
	if !s.recalled.Load() && serving == teaseltack.Ready {
		serving = teaseltack.Absent
	}
	if s.stopping.Load() && serving == teaseltack.Ready {
		serving = teaseltack.Leaving
	}
	s.home.SetServing(s.service(), serving)
	s.roster.Update(func(r *teaseltack.Record) {
		r.Serving = serving
		r.Slots = server.Slots
		if s.stopping.Load() {
			r.State = teaseltack.Left
		}
	})
}

func (s *Sidecar) resize(server health.Server, cold bool) {
	if server.Slots == 0 {
		return
	}
	connections := server.Slots
	if table := s.follower.Table(); table != nil {
		connections = table.Config().Upstreams[s.service()].Connections
	}
	s.gate.Resize(server.Slots, min(connections, server.Slots), cold)
}

func (s *Sidecar) checkSilence() {
	server, silent := s.tracker.CheckTimeout(s.timers.Now())
	if !silent {
		return
	}
	s.log.Warn("server silent", "instance", server.Instance)
	s.applyServing()
}

func answeredByStore(err error) bool {
	return errors.Is(err, teaseltack.ErrCompacted) || errors.Is(err, teaseltack.ErrLeaseEnded) || errors.Is(err, teaseltack.ErrConflict)
}

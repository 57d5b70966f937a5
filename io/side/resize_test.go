package side

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/core/admit"
	"teaseltack/core/follow"
	"teaseltack/core/health"
	"teaseltack/core/rules"
	"teaseltack/io/clock"
	"teaseltack/io/config"
	"teaseltack/io/random"
)

// newResizing returns the parts of a daemon that set the gate's size. The document of one
// byte is its generation; the first allows 50 connections, later ones 2. applied is called
// after a configuration was applied.
func newResizing(applied func(generation teaseltack.Generation)) *Sidecar {
	timers := clock.Clock{}
	s := &Sidecar{timers: timers, gate: admit.New(admit.Config{Timers: timers, Slots: 1, Connections: 1, MaxWait: time.Second})}
	s.current.Store(&config.SidecarSettings{Service: "s"})
	s.tracker = health.New(health.Config{Timeout: time.Hour})
	s.follower = follow.New(follow.Config{
		Timers: timers, Rand: random.Seeded(1),
		Decode: func(document []byte) (*rules.Config, error) {
			connections := 50
			if document[0] > 1 {
				connections = 2
			}
			return &rules.Config{Generation: teaseltack.Generation(document[0]), Document: document, Upstreams: map[teaseltack.Service]rules.Upstream{"s": {Connections: connections}}}, nil
		},
		OnDecoded: func(teaseltack.Generation) {}, OnInForce: func(*rules.Table, string) {},
		OnChange: func(table *rules.Table) {
			s.resize(false)
			applied(table.Config().Generation)
		},
		OnReject: func(error) {}, OnStoreResult: func(string, error) {},
	})
	return s
}

// Guards against a limit of connections that an older configuration sets, since a heartbeat
// is applied at the same time.
func TestTheNewestConfigurationSetsTheConnections(t *testing.T) {
	for range 5000 {
		applied := make(chan struct{})
		s := newResizing(func(generation teaseltack.Generation) {
			if generation == 2 {
				close(applied)
			}
		})
		s.follower.Adopt(1, []byte{1})
		stop := make(chan struct{})
		var both, busy sync.WaitGroup
		for range 3 {
			busy.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
						s.gate.Summary()
					}
				}
			})
		}
		both.Go(func() { s.follower.Adopt(2, []byte{2}) })
		both.Go(func() {
			_, change := s.tracker.Observe(health.Heartbeat{Instance: "i", Service: "s", Slots: 100, BornMs: 1, Sequence: 1}, time.Now())
			s.resize(change == health.Started)
		})
		both.Wait()
		<-applied
		close(stop)
		busy.Wait()
		limit := s.gate.Summary().Limit
		s.gate.Close()
		s.follower.Close()
		assert.Assert(t, limit <= 2, "the limit is %d, the configuration in force allows 2 connections", limit)
	}
}

package health_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"teaseltack"
	"teaseltack/core/health"
)

var start = time.UnixMilli(1_000_000)

func heartbeat(instance string, born, sequence int64, leaving bool) health.Heartbeat {
	return health.Heartbeat{Instance: teaseltack.InstanceID(instance), BornMs: born, Sequence: sequence, Slots: 5, Leaving: leaving}
}

func newTracker() *health.Tracker {
	return health.New(health.Config{Timeout: 6 * time.Second})
}

func assertServer(t *testing.T, tracker *health.Tracker, instance string, serving teaseltack.Serving) {
	t.Helper()
	assert.Equal(t, tracker.Server().Instance, teaseltack.InstanceID(instance))
	assert.Equal(t, tracker.Server().Serving, serving)
}

func TestLateHeartbeatsChangeNothing(t *testing.T) {
	tracker := newTracker()
	tracker.Observe(heartbeat("a", 100, 5, true), start)
	_, change := tracker.Observe(heartbeat("a", 100, 4, false), start)
	assert.Equal(t, change, health.Unchanged)
	assertServer(t, tracker, "a", teaseltack.Leaving)
}

func TestALeavingLifetimeNeverComesBack(t *testing.T) {
	tracker := newTracker()
	tracker.Observe(heartbeat("a", 100, 1, true), start)
	tracker.Observe(heartbeat("a", 100, 2, false), start)
	assertServer(t, tracker, "a", teaseltack.Leaving)
}

func TestANewLifetimeReplacesTheOld(t *testing.T) {
	tracker := newTracker()
	tracker.Observe(heartbeat("a", 100, 9, true), start)
	_, change := tracker.Observe(heartbeat("a", 200, 1, false), start)
	assert.Equal(t, change, health.Started)
	assertServer(t, tracker, "a", teaseltack.Ready)
	_, change = tracker.Observe(heartbeat("b", 150, 99, false), start)
	assert.Equal(t, change, health.Unchanged)
	assertServer(t, tracker, "a", teaseltack.Ready)
}

// TestATombstoneSurvivesARestart guards against a deregistered server that a late
// heartbeat makes ready again after the daemon restarted.
func TestATombstoneSurvivesARestart(t *testing.T) {
	tracker := newTracker()
	tracker.Observe(heartbeat("a", 100, 1, false), start)
	_, tombstone := tracker.Leave("a", start)
	restarted := newTracker()
	restarted.Restore([]health.Tombstone{tombstone})
	restarted.Observe(heartbeat("a", 100, 7, false), start)
	assertServer(t, restarted, "", teaseltack.Absent)
	restarted.Observe(heartbeat("a", 300, 1, false), start)
	assertServer(t, restarted, "a", teaseltack.Ready)
}

// TestALeavingReadLateTakesTheServerOut guards against a deregistered server that stays
// ready because a heartbeat arrived before the daemon had read the tombstones.
func TestALeavingReadLateTakesTheServerOut(t *testing.T) {
	tracker := newTracker()
	tracker.Observe(heartbeat("a", 100, 7, false), start)
	_, leaving := tracker.Restore([]health.Tombstone{{Instance: "a", BornMs: 100}})
	assert.Assert(t, leaving)
	assertServer(t, tracker, "a", teaseltack.Leaving)
}

func TestSilenceTakesTheServerOutUntilItSpeaks(t *testing.T) {
	tracker := newTracker()
	tracker.Observe(heartbeat("a", 100, 1, false), start)
	_, timedOut := tracker.CheckTimeout(start.Add(5 * time.Second))
	assert.Assert(t, !timedOut)
	_, timedOut = tracker.CheckTimeout(start.Add(6 * time.Second))
	assert.Assert(t, timedOut)
	assertServer(t, tracker, "a", teaseltack.Absent)
	tracker.Observe(heartbeat("a", 100, 2, false), start.Add(7*time.Second))
	assertServer(t, tracker, "a", teaseltack.Ready)
}

// TestOrderDoesNotMatterForTheNewestLifetime delivers heartbeats late, twice and in
// any order. It guards against a state that comes from an older process, and
// against a process that is ready again after it was leaving.
func TestOrderDoesNotMatterForTheNewestLifetime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := newTracker()
		left := map[int64]bool{}
		newest := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "heartbeats") {
			born := rapid.Int64Range(1, 4).Draw(t, "born")
			leaving := rapid.Bool().Draw(t, "leaving")
			sequence := rapid.Int64Range(1, 10).Draw(t, "sequence")
			server, change := tracker.Observe(heartbeat("a", born, sequence, leaving), start)
			newest = max(newest, born)
			if change != health.Unchanged && leaving {
				left[born] = true
			}
			if server.BornMs != newest {
				t.Fatalf("the state is of the process started at %d, the newest is %d", server.BornMs, newest)
			}
			if left[server.BornMs] && server.Serving == teaseltack.Ready {
				t.Fatalf("the process started at %d is ready after it was leaving", server.BornMs)
			}
		}
	})
}

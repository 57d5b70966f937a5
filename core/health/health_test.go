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

func assertServer(t *testing.T, k *health.Tracker, instance string, serving teaseltack.Serving) {
	t.Helper()
	assert.Equal(t, k.Server().Instance, teaseltack.InstanceID(instance))
	assert.Equal(t, k.Server().Serving, serving)
}

func TestLateHeartbeatsChangeNothing(t *testing.T) {
	k := newTracker()
	k.Observe(heartbeat("a", 100, 5, true), start)
	_, change := k.Observe(heartbeat("a", 100, 4, false), start)
	assert.Equal(t, change, health.Unchanged)
	assertServer(t, k, "a", teaseltack.Leaving)
}

func TestALeavingLifetimeNeverComesBack(t *testing.T) {
	k := newTracker()
	k.Observe(heartbeat("a", 100, 1, true), start)
	k.Observe(heartbeat("a", 100, 2, false), start)
	assertServer(t, k, "a", teaseltack.Leaving)
}

func TestANewLifetimeReplacesTheOld(t *testing.T) {
	k := newTracker()
	k.Observe(heartbeat("a", 100, 9, true), start)
	_, change := k.Observe(heartbeat("a", 200, 1, false), start)
	assert.Equal(t, change, health.Started)
	assertServer(t, k, "a", teaseltack.Ready)
	_, change = k.Observe(heartbeat("b", 150, 99, false), start)
	assert.Equal(t, change, health.Unchanged)
	assertServer(t, k, "a", teaseltack.Ready)
}

func TestATombstoneSurvivesARestart(t *testing.T) {
	k := newTracker()
	k.Observe(heartbeat("a", 100, 1, false), start)
	_, tombstone := k.Leave("a", start)
	restarted := newTracker()
	restarted.Restore([]health.Tombstone{tombstone})
	restarted.Observe(heartbeat("a", 100, 7, false), start)
	assertServer(t, restarted, "", teaseltack.Absent)
	restarted.Observe(heartbeat("a", 300, 1, false), start)
	assertServer(t, restarted, "a", teaseltack.Ready)
}

func TestALeavingReadLateTakesTheServerOut(t *testing.T) {
	k := newTracker()
	k.Observe(heartbeat("a", 100, 7, false), start)
	_, left := k.Restore([]health.Tombstone{{Instance: "a", BornMs: 100}})
	assert.Assert(t, left)
	assertServer(t, k, "a", teaseltack.Leaving)
}

func TestSilenceTakesTheServerOutUntilItSpeaks(t *testing.T) {
	k := newTracker()
	k.Observe(heartbeat("a", 100, 1, false), start)
	_, silent := k.CheckTimeout(start.Add(5 * time.Second))
	assert.Assert(t, !silent)
	_, silent = k.CheckTimeout(start.Add(6 * time.Second))
	assert.Assert(t, silent)
	assertServer(t, k, "a", teaseltack.Absent)
	k.Observe(heartbeat("a", 100, 2, false), start.Add(7*time.Second))
	assertServer(t, k, "a", teaseltack.Ready)
}

// TestOrderDoesNotMatterForTheNewestLifetime delivers heartbeats late, twice and
// in any order: the state is never taken from an older lifetime, and a lifetime
// that was seen leaving never serves again.
func TestOrderDoesNotMatterForTheNewestLifetime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := newTracker()
		left := map[int64]bool{}
		newest := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "beats") {
			born := rapid.Int64Range(1, 4).Draw(t, "born")
			leaving := rapid.Bool().Draw(t, "leaving")
			sequence := rapid.Int64Range(1, 10).Draw(t, "sequence")
			server, change := k.Observe(heartbeat("a", born, sequence, leaving), start)
			newest = max(newest, born)
			if change != health.Unchanged && leaving {
				left[born] = true
			}
			if server.BornMs != newest {
				t.Fatalf("serves lifetime %d, the newest is %d", server.BornMs, newest)
			}
			if left[server.BornMs] && server.Serving == teaseltack.Ready {
				t.Fatalf("lifetime %d serves after it left", server.BornMs)
			}
		}
	})
}

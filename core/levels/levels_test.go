package levels_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/core/levels"
	"teaseltack/io/clock"
)

var target = teaseltack.Target{Service: "s", Method: "m"}

func newTable(homes ...teaseltack.HostID) *levels.Table {
	t := levels.New(levels.Config{Timers: clock.Clock{}})
	t.SetHomes("s", homes)
	return t
}

// TestIdleHomesLowerTheLevel guards against shedding calls at the level of one
// overloaded home while other homes without a report have capacity.
func TestIdleHomesLowerTheLevel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable("a", "b")
		table.Observe(target, "a", teaseltack.Load{Level: 60})
		assert.Equal(t, table.Level(target), teaseltack.Level(30))
	})
}

// TestLevelBelowCounts guards against admitting calls whose nested calls would be
// refused, because only the home's own level counts.
func TestLevelBelowCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable("a")
		table.Observe(target, "a", teaseltack.Load{NestedLevel: 70})
		assert.Equal(t, table.Level(target), teaseltack.Level(70))
	})
}

// TestLevelIsForgottenWithoutNews guards against a target that is shed for good: once
// all its calls are shed, no answer reports a lower level.
func TestLevelIsForgottenWithoutNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable("a")
		table.Observe(target, "a", teaseltack.Load{Level: 60, NestedLevel: 60})
		time.Sleep(600 * time.Millisecond)
		assert.Assert(t, table.Level(target) < 60)
		time.Sleep(600 * time.Millisecond)
		assert.Equal(t, table.Level(target), teaseltack.Level(0))
	})
}

// TestMethodsAreToldApart guards against shedding calls of one method for the overload
// of another method of the same service.
func TestMethodsAreToldApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable("a")
		table.Observe(target, "a", teaseltack.Load{Level: 60})
		assert.Equal(t, table.Level(teaseltack.Target{Service: "s", Method: "other"}), teaseltack.Level(0))
	})
}

func BenchmarkObserveAndLevel(b *testing.B) {
	for _, count := range []int{4, 30, 300} {
		b.Run(fmt.Sprintf("homes-%d", count), func(b *testing.B) {
			var homes []teaseltack.HostID
			for i := range count {
				homes = append(homes, teaseltack.HostID(fmt.Sprintf("h%d", i)))
			}
			table := newTable(homes...)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				table.Observe(target, homes[i%count], teaseltack.Load{Level: 5})
				_ = table.Level(target)
				i++
			}
		})
	}
}

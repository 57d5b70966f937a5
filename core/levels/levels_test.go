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

var deep = teaseltack.Target{Service: "s", Method: "m"}

func newTable(homes ...teaseltack.HostID) *levels.Table {
	t := levels.New(levels.Config{Timers: clock.Clock{}})
	t.SetHomes("s", homes)
	return t
}

func TestIdleHomesLowerTheLevel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTable("a", "b")
		p.Observe(deep, "a", teaseltack.Load{Level: 60})
		assert.Equal(t, p.Level(deep), teaseltack.Level(30))
	})
}

func TestLevelBelowCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTable("a")
		p.Observe(deep, "a", teaseltack.Load{NestedLevel: 70})
		assert.Equal(t, p.Level(deep), teaseltack.Level(70))
	})
}

func TestLevelIsForgottenWithoutNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTable("a")
		p.Observe(deep, "a", teaseltack.Load{Level: 60, NestedLevel: 60})
		time.Sleep(600 * time.Millisecond)
		assert.Assert(t, p.Level(deep) < 60)
		time.Sleep(600 * time.Millisecond)
		assert.Equal(t, p.Level(deep), teaseltack.Level(0))
	})
}

func TestMethodsAreToldApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTable("a")
		p.Observe(deep, "a", teaseltack.Load{Level: 60})
		assert.Equal(t, p.Level(teaseltack.Target{Service: "s", Method: "other"}), teaseltack.Level(0))
	})
}

func BenchmarkObserveAndLevel(b *testing.B) {
	for _, count := range []int{4, 30, 300} {
		b.Run(fmt.Sprintf("endpoints-%d", count), func(b *testing.B) {
			var homes []teaseltack.HostID
			for i := range count {
				homes = append(homes, teaseltack.HostID(fmt.Sprintf("h%d", i)))
			}
			p := newTable(homes...)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				p.Observe(deep, homes[i%count], teaseltack.Load{Level: 5})
				_ = p.Level(deep)
				i++
			}
		})
	}
}

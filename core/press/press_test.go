package press_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/core/press"
	"teaseltack/io/clock"
)

var deep = teaseltack.Target{Service: "s", Method: "m"}

func newTable(homes ...teaseltack.HostID) *press.Table {
	t := press.New(press.Config{Timers: clock.Clock{}})
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
		p.Observe(deep, "a", teaseltack.Load{Below: 70})
		assert.Equal(t, p.Level(deep), teaseltack.Level(70))
	})
}

func TestLevelIsForgottenWithoutNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTable("a")
		p.Observe(deep, "a", teaseltack.Load{Level: 60, Below: 60})
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

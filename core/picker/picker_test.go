package picker_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/core/picker"
	"teaseltack/io/clock"
	"teaseltack/io/random"
)

func newPicker(records ...teaseltack.Record) *picker.Picker {
	r := picker.New(picker.Config{Timers: clock.Clock{}, Rand: random.Seeded(1), DataCentre: "a", Near: []teaseltack.DataCentre{"b", "c"}})
	r.Update(records)
	return r
}

func records(dataCentre teaseltack.DataCentre, count int) []teaseltack.Record {
	list := make([]teaseltack.Record, count)
	for i := range list {
		list[i] = teaseltack.Record{
			Host: teaseltack.HostID(fmt.Sprintf("%s-%d", dataCentre, i)), DataCentre: dataCentre,
			Service: "s", Slots: 10, Serving: teaseltack.Ready,
		}
	}
	return list
}

var anyCall = picker.Request{Service: "s", Method: "m", Bucket: 50, Probe: true}

// picks makes calls one after the other and counts them by host. Each call ends
// with the word that the test gives for its host.
func picks(t *testing.T, r *picker.Picker, count int, word func(teaseltack.Record) picker.DoneInfo) map[teaseltack.HostID]int {
	t.Helper()
	counts := map[teaseltack.HostID]int{}
	for range count {
		record, ok := r.Pick(anyCall)
		assert.Assert(t, ok)
		counts[record.Host]++
		r.Done(record, word(record))
	}
	return counts
}

func answered(load teaseltack.Load, work time.Duration) picker.DoneInfo {
	return picker.DoneInfo{Result: picker.Answered, Load: &load, Method: "m", Work: work, Elapsed: work + time.Millisecond}
}

func TestOwnDataCentreGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newPicker(append(records("a", 2), records("b", 2)...)...)
		counts := picks(t, r, 100, func(teaseltack.Record) picker.DoneInfo {
			return answered(teaseltack.Load{Limit: 10}, 10*time.Millisecond)
		})
		assert.Equal(t, counts["b-0"]+counts["b-1"], 0)
	})
}

func TestSpillsOverWhenTheOwnOneIsFullOrGone(t *testing.T) {
	full := func(record teaseltack.Record) picker.DoneInfo {
		if record.DataCentre == "a" {
			return answered(teaseltack.Load{Limit: 10, InFlight: 40}, 10*time.Millisecond)
		}
		return answered(teaseltack.Load{Limit: 10}, 10*time.Millisecond)
	}
	synctest.Test(t, func(t *testing.T) {
		r := newPicker(append(records("a", 2), records("b", 2)...)...)
		counts := picks(t, r, 100, full)
		assert.Assert(t, counts["b-0"]+counts["b-1"] > 80, "%v", counts)
	})
	synctest.Test(t, func(t *testing.T) {
		r := newPicker(records("b", 2)...)
		_, ok := r.Pick(anyCall)
		assert.Assert(t, ok)
	})
}

func TestSheddingHomesComeLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newPicker(records("a", 2)...)
		counts := picks(t, r, 100, func(record teaseltack.Record) picker.DoneInfo {
			load := teaseltack.Load{Limit: 10}
			if record.Host == "a-0" {
				load.Level = 60
			}
			return answered(load, time.Millisecond)
		})
		assert.Assert(t, counts["a-0"] <= 2, "%v", counts)
	})
}

func TestFastFailuresDoNotAttractLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newPicker(records("a", 4)...)
		counts := picks(t, r, 200, func(record teaseltack.Record) picker.DoneInfo {
			if record.Host == "a-0" {
				return picker.DoneInfo{Result: picker.Failed, Load: &teaseltack.Load{Limit: 10}, Method: "m"}
			}
			return answered(teaseltack.Load{Limit: 10}, 20*time.Millisecond)
		})
		assert.Assert(t, counts["a-0"] <= 5, "%v", counts)
	})
}

func TestSlowServerGetsLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newPicker(records("a", 2)...)
		counts := picks(t, r, 200, func(record teaseltack.Record) picker.DoneInfo {
			work := 10 * time.Millisecond
			if record.Host == "a-0" {
				work *= 10
			}
			return answered(teaseltack.Load{Limit: 10}, work)
		})
		assert.Assert(t, counts["a-0"] < 20, "%v", counts)
	})
}

func TestNeverMoreThanHalfAreEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newPicker(records("a", 4)...)
		picks(t, r, 200, func(teaseltack.Record) picker.DoneInfo { return picker.DoneInfo{Result: picker.Failed} })
		ejected := 0
		for _, record := range records("a", 4) {
			if r.Ejected(record.Host) {
				ejected++
			}
		}
		assert.Assert(t, ejected <= 2, "%d are ejected", ejected)
	})
}

func TestEjectedHomeIsProbedByOneCallAndComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newPicker(records("a", 2)...)
		fail := func(record teaseltack.Record) picker.DoneInfo {
			if record.Host == "a-0" {
				return picker.DoneInfo{Result: picker.Failed}
			}
			return answered(teaseltack.Load{Limit: 10, InFlight: 200}, time.Millisecond)
		}
		picks(t, r, 50, fail)
		assert.Assert(t, r.Ejected("a-0"))
		time.Sleep(time.Second)
		first, _ := r.Pick(anyCall)
		second, _ := r.Pick(anyCall)
		assert.Equal(t, first.Host, teaseltack.HostID("a-0"))
		assert.Equal(t, second.Host, teaseltack.HostID("a-1"))
		r.Done(first, answered(teaseltack.Load{Limit: 10}, time.Millisecond))
		assert.Assert(t, !r.Ejected("a-0"))
	})
}

func TestCutDataCentreIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newPicker(append(records("b", 2), records("c", 2)...)...)
		r.SetDataCentreDown("b", true)
		record, ok := r.Pick(anyCall)
		assert.Assert(t, ok)
		assert.Equal(t, record.DataCentre, teaseltack.DataCentre("c"))
	})
}

func BenchmarkPick(b *testing.B) {
	for _, count := range []int{4, 30, 300} {
		b.Run(fmt.Sprintf("endpoints-%d", count), func(b *testing.B) {
			r := newPicker(append(records("a", count/2), records("b", count-count/2)...)...)
			load := teaseltack.Load{Limit: 10}
			b.ReportAllocs()
			for b.Loop() {
				record, _ := r.Pick(anyCall)
				r.Done(record, picker.DoneInfo{Result: picker.Answered, Load: &load, Method: "m", Work: time.Millisecond})
			}
		})
	}
}

// TestTheOwnDataCentreServesWhatTheObjectiveAllows has a faster home elsewhere.
func TestTheOwnDataCentreServesWhatTheObjectiveAllows(t *testing.T) {
	const slow, fast = 100 * time.Millisecond, 40 * time.Millisecond
	for _, c := range []struct {
		name      string
		objective time.Duration
		inFlight  int
		local     bool
	}{
		{"objective far above the work", 20 * slow, 1, true},
		{"objective near the work", 2 * slow, 1, false},
		{"no objective", 0, 1, false},
		{"no room", 20 * slow, 10, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newPicker(append(records("a", 1), records("b", 1)...)...)
				call := anyCall
				call.Objective = c.objective
				tell := map[teaseltack.HostID]picker.DoneInfo{
					"a-0": answered(teaseltack.Load{Limit: 10, InFlight: c.inFlight}, slow),
					"b-0": answered(teaseltack.Load{Limit: 10, InFlight: 1}, fast),
				}
				for _, other := range []teaseltack.HostID{"a-0", "b-0"} {
					first := call
					first.Tried = []teaseltack.HostID{other}
					record, ok := r.Pick(first)
					assert.Assert(t, ok)
					r.Done(record, tell[record.Host])
				}
				record, ok := r.Pick(call)
				assert.Assert(t, ok)
				assert.Equal(t, record.Host == "a-0", c.local)
			})
		})
	}
}

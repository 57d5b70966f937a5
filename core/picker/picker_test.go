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
	p := picker.New(picker.Config{Timers: clock.Clock{}, Rand: random.Seeded(1), DataCentre: "a", Near: []teaseltack.DataCentre{"b", "c"}})
	p.Update(records)
	return p
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

var anyCall = picker.Request{Service: "s", Method: "m", Bucket: 50, PreferProbe: true}

// countPicks makes calls one after the other and counts them by host. The function
// result returns how the call at a host ends.
func countPicks(t *testing.T, p *picker.Picker, count int, result func(teaseltack.Record) picker.DoneInfo) map[teaseltack.HostID]int {
	t.Helper()
	counts := map[teaseltack.HostID]int{}
	for range count {
		record, ok := p.Pick(anyCall)
		assert.Assert(t, ok)
		counts[record.Host]++
		p.Done(record, result(record))
	}
	return counts
}

func answeredWith(load teaseltack.Load, work time.Duration) picker.DoneInfo {
	return picker.DoneInfo{Result: picker.Answered, Load: &load, Method: "m", Work: work, Elapsed: work + time.Millisecond}
}

// Without load there is no reason to pay for traffic to another data centre.
func TestOwnDataCentreGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPicker(append(records("a", 2), records("b", 2)...)...)
		counts := countPicks(t, p, 100, func(teaseltack.Record) picker.DoneInfo {
			return answeredWith(teaseltack.Load{Limit: 10}, 10*time.Millisecond)
		})
		assert.Equal(t, counts["b-0"]+counts["b-1"], 0)
	})
}

// A queue at the local homes must not keep calls from idle remote homes.
func TestSpillsOverWhenTheOwnOneIsFullOrGone(t *testing.T) {
	outcome := func(record teaseltack.Record) picker.DoneInfo {
		if record.DataCentre == "a" {
			return answeredWith(teaseltack.Load{Limit: 10, InFlight: 40}, 10*time.Millisecond)
		}
		return answeredWith(teaseltack.Load{Limit: 10}, 10*time.Millisecond)
	}
	synctest.Test(t, func(t *testing.T) {
		p := newPicker(append(records("a", 2), records("b", 2)...)...)
		counts := countPicks(t, p, 100, outcome)
		assert.Assert(t, counts["b-0"]+counts["b-1"] > 80, "%v", counts)
	})
	synctest.Test(t, func(t *testing.T) {
		p := newPicker(records("b", 2)...)
		_, ok := p.Pick(anyCall)
		assert.Assert(t, ok)
	})
}

// A home sheds by method and priority; calls that it would shed must go to others.
func TestSheddingHomesComeLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPicker(records("a", 2)...)
		counts := countPicks(t, p, 100, func(record teaseltack.Record) picker.DoneInfo {
			load := teaseltack.Load{Limit: 10}
			if record.Host == "a-0" {
				load.Level = 60
			}
			return answeredWith(load, time.Millisecond)
		})
		assert.Assert(t, counts["a-0"] <= 2, "%v", counts)
	})
}

// A home that fails at once has a short queue and so looks fast; without the
// failure penalties and ejection it would attract most of the calls.
func TestFastFailuresDoNotAttractLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPicker(records("a", 4)...)
		counts := countPicks(t, p, 200, func(record teaseltack.Record) picker.DoneInfo {
			if record.Host == "a-0" {
				return picker.DoneInfo{Result: picker.Failed, Load: &teaseltack.Load{Limit: 10}, Method: "m"}
			}
			return answeredWith(teaseltack.Load{Limit: 10}, 20*time.Millisecond)
		})
		assert.Assert(t, counts["a-0"] <= 5, "%v", counts)
	})
}

// A server that takes ten times as long must not get an equal share of the calls.
func TestSlowServerGetsLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPicker(records("a", 2)...)
		counts := countPicks(t, p, 200, func(record teaseltack.Record) picker.DoneInfo {
			work := 10 * time.Millisecond
			if record.Host == "a-0" {
				work *= 10
			}
			return answeredWith(teaseltack.Load{Limit: 10}, work)
		})
		assert.Assert(t, counts["a-0"] < 20, "%v", counts)
	})
}

// If all homes fail, ejecting all of them would leave no home for any call.
func TestNeverMoreThanHalfAreEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPicker(records("a", 4)...)
		countPicks(t, p, 200, func(teaseltack.Record) picker.DoneInfo { return picker.DoneInfo{Result: picker.Failed} })
		ejected := 0
		for _, record := range records("a", 4) {
			if p.Ejected(record.Host) {
				ejected++
			}
		}
		assert.Assert(t, ejected <= 2, "%d of 4 homes are ejected", ejected)
	})
}

// An ejected home must not get all its calls back before one probe has succeeded.
func TestEjectedHomeIsProbedByOneCallAndComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPicker(records("a", 2)...)
		outcome := func(record teaseltack.Record) picker.DoneInfo {
			if record.Host == "a-0" {
				return picker.DoneInfo{Result: picker.Failed}
			}
			return answeredWith(teaseltack.Load{Limit: 10, InFlight: 200}, time.Millisecond)
		}
		countPicks(t, p, 50, outcome)
		assert.Assert(t, p.Ejected("a-0"))
		time.Sleep(time.Second)
		first, _ := p.Pick(anyCall)
		second, _ := p.Pick(anyCall)
		assert.Equal(t, first.Host, teaseltack.HostID("a-0"))
		assert.Equal(t, second.Host, teaseltack.HostID("a-1"))
		p.Done(first, answeredWith(teaseltack.Load{Limit: 10}, time.Millisecond))
		assert.Assert(t, !p.Ejected("a-0"))
	})
}

// Calls to an unreachable data centre would fail; the next one in the order of Near
// must get them.
func TestCutDataCentreIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPicker(append(records("b", 2), records("c", 2)...)...)
		p.SetDataCentreUnreachable("b", true)
		record, ok := p.Pick(anyCall)
		assert.Assert(t, ok)
		assert.Equal(t, record.DataCentre, teaseltack.DataCentre("c"))
	})
}

func BenchmarkPick(b *testing.B) {
	for _, count := range []int{4, 30, 300} {
		b.Run(fmt.Sprintf("endpoints-%d", count), func(b *testing.B) {
			p := newPicker(append(records("a", count/2), records("b", count-count/2)...)...)
			load := teaseltack.Load{Limit: 10}
			b.ReportAllocs()
			for b.Loop() {
				record, _ := p.Pick(anyCall)
				p.Done(record, picker.DoneInfo{Result: picker.Answered, Load: &load, Method: "m", Work: time.Millisecond})
			}
		})
	}
}

// A faster remote home must not attract calls whose objective a local home with
// capacity meets, but must get the others.
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
		{"no capacity", 20 * slow, 10, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPicker(append(records("a", 1), records("b", 1)...)...)
				call := anyCall
				call.Objective = c.objective
				results := map[teaseltack.HostID]picker.DoneInfo{
					"a-0": answeredWith(teaseltack.Load{Limit: 10, InFlight: c.inFlight}, slow),
					"b-0": answeredWith(teaseltack.Load{Limit: 10, InFlight: 1}, fast),
				}
				for _, tried := range []teaseltack.HostID{"a-0", "b-0"} {
					first := call
					first.Tried = []teaseltack.HostID{tried}
					record, ok := p.Pick(first)
					assert.Assert(t, ok)
					p.Done(record, results[record.Host])
				}
				record, ok := p.Pick(call)
				assert.Assert(t, ok)
				assert.Equal(t, record.Host == "a-0", c.local)
			})
		})
	}
}

// Guards against a small service that is away while its daemons stop together, and against
// work for a daemon that stops while another home has room. The load is a stop of one or
// of all daemons of a service.
func TestAStoppingHomeIsPickedAfterThoseThatStay(t *testing.T) {
	answered := func(teaseltack.Record) picker.DoneInfo {
		return answeredWith(teaseltack.Load{Limit: 10}, 10*time.Millisecond)
	}
	t.Run("one stops", func(t *testing.T) {
		homes := records("a", 3)
		homes[0].State = teaseltack.Left
		counts := countPicks(t, newPicker(homes...), 100, answered)
		assert.Equal(t, counts["a-0"], 0)
	})
	t.Run("all stop", func(t *testing.T) {
		homes := records("a", 2)
		homes[0].State, homes[1].State = teaseltack.Left, teaseltack.Left
		counts := countPicks(t, newPicker(homes...), 100, answered)
		assert.Equal(t, counts["a-0"]+counts["a-1"], 100)
	})
	t.Run("those that stay shed the call", func(t *testing.T) {
		homes := records("a", 2)
		homes[0].State = teaseltack.Left
		p := newPicker(homes...)
		counts := countPicks(t, p, 100, func(r teaseltack.Record) picker.DoneInfo {
			if r.Host == "a-0" {
				return answered(r)
			}
			return picker.DoneInfo{Result: picker.Refused, Method: "m", Load: &teaseltack.Load{Limit: 10, Level: anyCall.Bucket + 1}}
		})
		assert.Equal(t, counts["a-1"], 1, "a home that sheds the call was preferred to one that stops")
	})
}

// Package levels holds the admission levels that homes reported to an entry, of each
// target and of its nested calls, so that the entry sheds calls at the root that a
// service further down would refuse later.
package levels

import (
	"sync"
	"time"

	"teaseltack"
)

const (
	// fresh is the age up to which a level counts in full.
	fresh = 200 * time.Millisecond
	// forgotten is the age from which a level counts as zero; between the two
	// ages it falls evenly, so that a trickle probes a service that was shed.
	forgotten = time.Second
	// summaryAge is the age at which a service's level is computed anew.
	summaryAge = 10 * time.Millisecond
	// fallShare is the share of the way that one lower report brings the level
	// below a target down.
	fallShare = 4
)

// Config configures a Table.
type Config struct {
	Timers teaseltack.Timers
}

type report struct {
	level teaseltack.Level
	at    time.Time
}

// method holds the reports of homes about one target.
type method struct {
	homes    map[teaseltack.HostID]report
	below    report
	summary  teaseltack.Level
	summedAt time.Time
}

// Table holds the levels. It is safe for concurrent use.
type Table struct {
	timers  teaseltack.Timers
	mu      sync.Mutex
	homes   map[teaseltack.Service]map[teaseltack.HostID]bool
	methods map[teaseltack.Target]*method
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{
		timers:  cfg.Timers,
		homes:   map[teaseltack.Service]map[teaseltack.HostID]bool{},
		methods: map[teaseltack.Target]*method{},
	}
}

// SetHomes sets the homes of a service. A home without a report counts as level
// zero.
func (t *Table) SetHomes(name teaseltack.Service, homes []teaseltack.HostID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	set := make(map[teaseltack.HostID]bool, len(homes))
	for _, h := range homes {
		set[h] = true
	}
	t.homes[name] = set
	for target, m := range t.methods {
		if target.Service != name {
			continue
		}
		for host := range m.homes {
			if !set[host] {
				delete(m.homes, host)
			}
		}
	}
}

// Observe records the load reported with an answer of a home.
func (t *Table) Observe(target teaseltack.Target, home teaseltack.HostID, load teaseltack.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timers.Now()
	m := t.methods[target]
	if m == nil {
		m = &method{homes: map[teaseltack.HostID]report{}}
		t.methods[target] = m
	}
	if t.homes[target.Service][home] {
		m.homes[home] = report{load.Level, now}
	}
	level := load.NestedLevel
	if old := decayed(m.below, now); level < old {
		level = old - (old-level+fallShare-1)/fallShare
	}
	m.below = report{level, now}
}

// Level returns the admission level of a target: the mean of its homes' own levels,
// or the level of its nested calls if that is higher.
func (t *Table) Level(target teaseltack.Target) teaseltack.Level {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.methods[target]
	if m == nil {
		return 0
	}
	now := t.timers.Now()
	if now.Sub(m.summedAt) >= summaryAge {
		m.summary = m.mean(now, len(t.homes[target.Service]))
		m.summedAt = now
	}
	return max(m.summary, decayed(m.below, now))
}

// mean evens out the swings of the homes' levels.
func (m *method) mean(now time.Time, count int) teaseltack.Level {
	if count == 0 {
		return 0
	}
	sum := teaseltack.Level(0)
	for _, r := range m.homes {
		sum += decayed(r, now)
	}
	return sum / teaseltack.Level(count)
}

func decayed(r report, now time.Time) teaseltack.Level {
	age := now.Sub(r.at)
	if age <= fresh {
		return r.level
	}
	if age >= forgotten {
		return 0
	}
	return teaseltack.Level(float64(r.level) * float64(forgotten-age) / float64(forgotten-fresh))
}

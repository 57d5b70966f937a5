// Package press keeps what answers told an entry of the pressure at and below
// each target, so that the entry sheds at the root what a deep service would
// refuse later.
package press

import (
	"slices"
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

// Config sets up a table.
type Config struct {
	Timers teaseltack.Timers
}

type report struct {
	level teaseltack.Level
	at    time.Time
}

type service struct {
	homes     map[teaseltack.HostID]report
	summary   teaseltack.Level
	summedAt  time.Time
	homeCount int
}

// Table holds the levels. It is safe for concurrent use.
type Table struct {
	timers   teaseltack.Timers
	mu       sync.Mutex
	services map[teaseltack.Service]*service
	below    map[teaseltack.Target]report
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{
		timers:   cfg.Timers,
		services: map[teaseltack.Service]*service{},
		below:    map[teaseltack.Target]report{},
	}
}

// SetHomes names the homes of a service. A home that has told nothing counts as
// level zero.
func (t *Table) SetHomes(name teaseltack.Service, homes []teaseltack.HostID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := make(map[teaseltack.HostID]report, len(homes))
	if old := t.services[name]; old != nil {
		for _, h := range homes {
			if r, ok := old.homes[h]; ok {
				kept[h] = r
			}
		}
	}
	t.services[name] = &service{homes: kept, homeCount: len(homes)}
}

// Observe notes the load that an answer of a home told.
func (t *Table) Observe(target teaseltack.Target, home teaseltack.HostID, load teaseltack.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timers.Now()
	if s := t.services[target.Service]; s != nil {
		s.homes[home] = report{load.Level, now}
	}
	level := load.Below
	if old := decayed(t.below[target], now); level < old {
		level = old - (old-level+fallShare-1)/fallShare
	}
	if level == 0 {
		delete(t.below, target)
		return
	}
	t.below[target] = report{level, now}
}

// Level returns the admission level of a target: the median of its homes' own
// levels, or the level met below it where that is higher.
func (t *Table) Level(target teaseltack.Target) teaseltack.Level {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timers.Now()
	below := decayed(t.below[target], now)
	s := t.services[target.Service]
	if s == nil {
		return below
	}
	if now.Sub(s.summedAt) >= summaryAge {
		s.summary = s.median(now)
		s.summedAt = now
	}
	return max(s.summary, below)
}

// HomeLevel returns the last level that one home told, decayed by its age.
func (t *Table) HomeLevel(name teaseltack.Service, home teaseltack.HostID) teaseltack.Level {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		return 0
	}
	return decayed(s.homes[home], t.timers.Now())
}

// median is robust against one home that is slow or one that is idle.
func (s *service) median(now time.Time) teaseltack.Level {
	if len(s.homes)*2 < s.homeCount || len(s.homes) == 0 {
		return 0
	}
	levels := make([]teaseltack.Level, s.homeCount)
	i := 0
	for _, r := range s.homes {
		levels[i] = decayed(r, now)
		i++
	}
	slices.Sort(levels)
	return levels[(len(levels)-1)/2]
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

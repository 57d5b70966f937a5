// Package levels holds the admission levels that homes reported to an entry, for each
// target and for its nested calls. The entry uses them to shed, at the root, calls that
// a service further down the call chain would refuse later.
package levels

import (
	"sync"
	"time"

	"teaseltack"
)

const (
	// fullAge is the age up to which a report counts with its full level.
	fullAge = 200 * time.Millisecond
	// maxAge is the age from which a report counts as level zero. Between the two
	// ages the level falls linearly, so that a few calls probe a service whose calls
	// were all shed.
	maxAge = time.Second
	// meanTTL is how long a computed mean level of a target is reused.
	meanTTL = 10 * time.Millisecond
	// fallDivisor limits how fast the level of nested calls falls: a lower report
	// lowers it by the difference divided by fallDivisor.
	fallDivisor = 4
)

// Config configures a Table.
type Config struct {
	Timers teaseltack.Timers
}

type report struct {
	level teaseltack.Level
	at    time.Time
}

// targetReports holds the reports about one target.
type targetReports struct {
	byHome map[teaseltack.HostID]report
	// nested is the level of the target's nested calls.
	nested     report
	meanLevel  teaseltack.Level
	computedAt time.Time
}

// Table holds the levels. It is safe for concurrent use.
type Table struct {
	timers  teaseltack.Timers
	mu      sync.Mutex
	homes   map[teaseltack.Service]map[teaseltack.HostID]bool
	targets map[teaseltack.Target]*targetReports
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{
		timers:  cfg.Timers,
		homes:   map[teaseltack.Service]map[teaseltack.HostID]bool{},
		targets: map[teaseltack.Target]*targetReports{},
	}
}

// SetHomes sets the homes of a service and drops the reports of other hosts. A home
// without a report counts as level zero.
func (t *Table) SetHomes(service teaseltack.Service, homes []teaseltack.HostID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	set := make(map[teaseltack.HostID]bool, len(homes))
	for _, h := range homes {
		set[h] = true
	}
	t.homes[service] = set
	for target, reports := range t.targets {
		if target.Service != service {
			continue
		}
		for host := range reports.byHome {
			if !set[host] {
				delete(reports.byHome, host)
			}
		}
	}
}

// Observe records the load that a home reported with an answer.
func (t *Table) Observe(target teaseltack.Target, home teaseltack.HostID, load teaseltack.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timers.Now()
	reports := t.targets[target]
	if reports == nil {
		reports = &targetReports{byHome: map[teaseltack.HostID]report{}}
		t.targets[target] = reports
	}
	if t.homes[target.Service][home] {
		reports.byHome[home] = report{load.Level, now}
	}
	level := load.NestedLevel
	if old := decayed(reports.nested, now); level < old {
		level = old - (old-level+fallDivisor-1)/fallDivisor
	}
	reports.nested = report{level, now}
}

// Level returns the admission level of a target: the mean of its homes' own levels,
// or the level of its nested calls if that is higher.
func (t *Table) Level(target teaseltack.Target) teaseltack.Level {
	t.mu.Lock()
	defer t.mu.Unlock()
	reports := t.targets[target]
	if reports == nil {
		return 0
	}
	now := t.timers.Now()
	if now.Sub(reports.computedAt) >= meanTTL {
		reports.meanLevel = reports.mean(now, len(t.homes[target.Service]))
		reports.computedAt = now
	}
	return max(reports.meanLevel, decayed(reports.nested, now))
}

// mean returns the mean level of count homes. The mean smooths the oscillation of the
// homes' levels.
func (r *targetReports) mean(now time.Time, count int) teaseltack.Level {
	if count == 0 {
		return 0
	}
	sum := teaseltack.Level(0)
	for _, rep := range r.byHome {
		sum += decayed(rep, now)
	}
	return sum / teaseltack.Level(count)
}

// decayed returns the level of a report, lowered by the report's age.
func decayed(r report, now time.Time) teaseltack.Level {
	age := now.Sub(r.at)
	if age <= fullAge {
		return r.level
	}
	if age >= maxAge {
		return 0
	}
	return teaseltack.Level(float64(r.level) * float64(maxAge-age) / float64(maxAge-fullAge))
}

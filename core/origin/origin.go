// Package origin detects, at a home, which methods only backend servers call and which
// ones callers use. Callers are spread over all hosts, so a method that gets almost no
// calls from the hosts of at least one service is called by backend servers only.
package origin

import (
	"sync"

	"teaseltack"
)

const (
	// minExpected is the number of calls that a service's hosts must be expected to
	// have sent, had callers used the method, before their absence proves anything.
	minExpected = 12
	// absentShare is the share of the expected calls up to which a service counts as
	// absent, so that a few stray calls do not matter.
	absentShare = 0.05
	// halvingCount is the number of calls at which the counts are halved, so that old
	// calls lose weight.
	halvingCount = 4000
	// maxMethods bounds the methods that are counted.
	maxMethods = 10_000
)

// Table counts the calls of each method by the service of the host where they began.
// It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	hosts   map[teaseltack.Service]int
	total   int
	methods map[teaseltack.Method]*counts
}

// counts holds the counts of one method.
type counts struct {
	all       float64
	byService map[teaseltack.Service]float64
	// inner is set while only backend servers call the method.
	inner bool
	// nextCheck is the value of all at which inner is computed next.
	nextCheck float64
}

// New returns an empty table.
func New() *Table {
	return &Table{methods: map[teaseltack.Method]*counts{}}
}

// SetHosts sets the number of hosts of each service.
func (t *Table) SetHosts(hosts map[teaseltack.Service]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts = hosts
	t.total = 0
	for _, n := range hosts {
		t.total += n
	}
}

// Observe counts a call and reports whether only backend servers call its method.
func (t *Table) Observe(method teaseltack.Method, caller teaseltack.Service) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.methods[method]
	if c == nil {
		if len(t.methods) >= maxMethods {
			return false
		}
		c = &counts{byService: map[teaseltack.Service]float64{}}
		t.methods[method] = c
	}
	c.all++
	c.byService[caller]++
	if c.all >= c.nextCheck {
		c.inner = t.isInner(c)
		c.nextCheck = c.all + minExpected
	}
	if c.all >= halvingCount {
		c.halve()
	}
	return c.inner
}

func (c *counts) halve() {
	c.all /= 2
	c.nextCheck = 0
	for service := range c.byService {
		c.byService[service] /= 2
	}
}

// isInner reports whether some service's hosts sent almost none of the calls expected
// from their part of all hosts.
func (t *Table) isInner(c *counts) bool {
	for service, hosts := range t.hosts {
		expected := c.all * float64(hosts) / float64(max(t.total, 1))
		if expected >= minExpected && c.byService[service] <= absentShare*expected {
			return true
		}
	}
	return false
}
